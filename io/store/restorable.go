package store

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ErrRestored means that the store was restored from an older copy since the caller learned what its
// call is based on. The call has not taken effect.
var ErrRestored = fmt.Errorf("%w: it was restored from an older copy", ErrUnavailable)

// RawTable is a Table whose revisions are the store's own numbers. Each call returns the era of the
// answer as well, also with an error, or zero if the answer has none.
type RawTable interface {
	// List is Table.List. All returned entries are of the same era.
	List(ctx context.Context, prefix string) (entries []Entry, revision, era uint64, err error)
	// Changes is Table.Changes.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (entries []Entry, revision, era uint64, err error)
	// Commit is Table.Commit. It ignores Txn.Era.
	Commit(ctx context.Context, txn Txn) (revision, era uint64, err error)
	// Grant is Table.Grant.
	Grant(ctx context.Context, ttl time.Duration) (lease LeaseID, life time.Duration, era uint64, err error)
	// Renew is Table.Renew.
	Renew(ctx context.Context, id LeaseID) (era uint64, err error)
	// End is Table.End.
	End(ctx context.Context, id LeaseID) (era uint64, err error)
}

// Restorable is a Table over a store that may be restored from an older copy, which loses changes
// that it has acknowledged, and gives out revisions and lease numbers again. Its revisions contain
// their era. Conditions, leases and watches of a former era are never sent to the store.
type Restorable struct {
	raw RawTable
	log *slog.Logger
	// era is the latest era of an answer. Zero means that no answer had one.
	era atomic.Uint64

	mu sync.Mutex
	// granted are the leases that were granted last.
	granted []Lease
}

// maxGranted is the largest number of granted leases whose era is remembered. An instance uses two
// at a time at most.
const maxGranted = 16

var _ Table = (*Restorable)(nil)

// NewRestorable returns a Table that makes its calls by raw.
func NewRestorable(raw RawTable, log *slog.Logger) *Restorable {
	return &Restorable{raw: raw, log: log}
}

// observe takes note of the era of an answer to a call that was sent in the given era. It returns
// the answer's era, and false if that is a former one.
func (t *Restorable) observe(sent, answered uint64) (uint64, bool) {
	if answered == 0 {
		answered = sent
	}
	for {
		known := t.era.Load()
		switch {
		case answered == known:
			return answered, true
		case answered < known:
			t.log.LogAttrs(context.Background(), slog.LevelWarn, "answer of a former era of the store dropped", slog.Uint64("era", answered), slog.Uint64("known", known))
			return answered, false
		case t.era.CompareAndSwap(known, answered):
			if known != 0 {
				t.log.LogAttrs(context.Background(), slog.LevelWarn, "store was restored from an older copy", slog.Uint64("era", answered), slog.Uint64("former", known))
			}
			return answered, true
		}
	}
}

// entriesOf gives raw entries the revisions of an era, in place. The revision of an entry is at most that of
// the answer, so that one that is too large is taken for it.
func entriesOf(era uint64, entries []Entry, answered uint64) []Entry {
	for i := range entries {
		if entries[i].Revision > maxNumber {
			entries[i].Revision = answered
		}
		entries[i].Revision = Revision(era, entries[i].Revision)
	}
	return entries
}

// isFormer reports whether a lease was granted to this process in another era than the given one.
func (t *Restorable) isFormer(era uint64, id LeaseID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, lease := range slices.Backward(t.granted) {
		if lease.ID == id {
			return lease.Era != era
		}
	}
	return false
}

// List implements Table.
func (t *Restorable) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	sent := t.era.Load()
	entries, revision, answered, err := t.raw.List(ctx, prefix)
	era, ok := t.observe(sent, answered)
	switch {
	case err != nil:
		return nil, 0, err
	case !ok:
		return nil, 0, ErrRestored
	case revision > maxNumber:
		return nil, 0, fmt.Errorf("%w: revision %d is too large", ErrUnavailable, revision)
	}
	return entriesOf(era, entries, revision), Revision(era, revision), nil
}

// Changes implements Table. It returns ErrCompacted if the revision is of a former era.
func (t *Restorable) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error) {
	sent := t.era.Load()
	if Era(after) != sent {
		return nil, 0, ErrCompacted
	}
	entries, revision, answered, err := t.raw.Changes(ctx, prefix, Number(after), wait)
	era, ok := t.observe(sent, answered)
	switch {
	case err != nil:
		return nil, 0, err
	case !ok || era != sent:
		return nil, 0, ErrCompacted
	case revision > maxNumber:
		return nil, 0, fmt.Errorf("%w: revision %d is too large", ErrUnavailable, revision)
	}
	return entriesOf(era, entries, revision), Revision(era, revision), nil
}

// Commit implements Table. If the store was restored while the call was under way, the change may
// have been made in the new era, on conditions that mean something else there.
func (t *Restorable) Commit(ctx context.Context, txn Txn) (uint64, error) {
	sent := t.era.Load()
	raw, ok := t.rawTxn(sent, txn)
	if !ok {
		return 0, ErrRestored
	}
	revision, answered, err := t.raw.Commit(ctx, raw)
	era, ok := t.observe(sent, answered)
	switch {
	case err != nil && era != sent:
		return 0, restoredDuring(err)
	case err != nil:
		return 0, err
	case !ok || era != sent:
		return 0, NewUnknownError(ErrRestored)
	case revision > maxNumber:
		return 0, NewUnknownError(fmt.Errorf("revision %d is too large", revision))
	}
	return Revision(era, revision), nil
}

// restoredDuring returns the error of a call that failed in another era than it was sent in. What
// the store says of conditions and leases there is no answer to the call.
func restoredDuring(err error) error {
	if Outcome(err) == "unknown" {
		return err
	}
	return ErrRestored
}

// rawTxn returns a transaction with the store's own numbers. It returns false if any of it is of
// another era than the given one.
func (t *Restorable) rawTxn(era uint64, txn Txn) (Txn, bool) {
	raw := Txn{Puts: txn.Puts, Deletes: txn.Deletes}
	if txn.Era != era {
		return raw, false
	}
	for _, c := range txn.Expected {
		if c.Revision != 0 && Era(c.Revision) != era {
			return raw, false
		}
		raw.Expected = append(raw.Expected, Condition{Key: c.Key, Revision: Number(c.Revision)})
	}
	for _, p := range txn.Puts {
		if t.isFormer(era, p.Lease) {
			return raw, false
		}
	}
	return raw, true
}

// Grant implements Table.
func (t *Restorable) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	sent := t.era.Load()
	id, life, answered, err := t.raw.Grant(ctx, ttl)
	era, ok := t.observe(sent, answered)
	switch {
	case err != nil:
		return Lease{}, err
	case !ok:
		return Lease{}, ErrRestored
	}
	lease := Lease{ID: id, TTL: life, Era: era}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.granted = append(t.granted, lease)
	t.granted = t.granted[max(len(t.granted)-maxGranted, 0):]
	return lease, nil
}

// Renew implements Table.
func (t *Restorable) Renew(ctx context.Context, id LeaseID) error {
	return t.onLease(ctx, id, t.raw.Renew)
}

// End implements Table.
func (t *Restorable) End(ctx context.Context, id LeaseID) error { return t.onLease(ctx, id, t.raw.End) }

// onLease makes a call for a lease. A lease of a former era may have been granted to another instance
// since, so a restore during the call counts as a failure.
func (t *Restorable) onLease(ctx context.Context, id LeaseID, call func(context.Context, LeaseID) (uint64, error)) error {
	sent := t.era.Load()
	if t.isFormer(sent, id) {
		return ErrRestored
	}
	answered, err := call(ctx, id)
	if era, ok := t.observe(sent, answered); !ok || era != sent {
		return ErrRestored
	}
	return err
}
