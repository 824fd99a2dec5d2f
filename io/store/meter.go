package store

import (
	"context"
	"errors"
	"time"
)

// Metered is a Table that counts the calls of another one, with their outcomes.
type Metered struct {
	// Table makes the calls.
	Table Table
	// Count is called after each call with the name of the call, which is "list", "watch",
	// "commit", "grant", "renew" or "end", and with its outcome as Outcome returns it.
	Count func(call, outcome string)
}

var _ Table = Metered{}

// Outcome returns the name of a call's outcome: "ok", "conflict", "not_found",
// "compacted", "unavailable", "unknown" or "failed".
func Outcome(err error) string {
	var unknown *UnknownError
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.As(err, &unknown):
		return "unknown"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	default:
		return "failed"
	}
}

// List implements Table.
func (m Metered) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	entries, revision, err := m.Table.List(ctx, prefix)
	m.Count("list", Outcome(err))
	return entries, revision, err
}

// Changes implements Table.
func (m Metered) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error) {
	entries, revision, err := m.Table.Changes(ctx, prefix, after, wait)
	m.Count("watch", Outcome(err))
	return entries, revision, err
}

// Commit implements Table.
func (m Metered) Commit(ctx context.Context, txn Txn) (uint64, error) {
	revision, err := m.Table.Commit(ctx, txn)
	m.Count("commit", Outcome(err))
	return revision, err
}

// Grant implements Table.
func (m Metered) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	lease, err := m.Table.Grant(ctx, ttl)
	m.Count("grant", Outcome(err))
	return lease, err
}

// Renew implements Table.
func (m Metered) Renew(ctx context.Context, id LeaseID) error {
	err := m.Table.Renew(ctx, id)
	m.Count("renew", Outcome(err))
	return err
}

// End implements Table.
func (m Metered) End(ctx context.Context, id LeaseID) error {
	err := m.Table.End(ctx, id)
	m.Count("end", Outcome(err))
	return err
}
