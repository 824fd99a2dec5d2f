package kvsim

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"pomelofork/io/store"
)

// Client is the connection of one process to the service, with its own fault.
type Client struct {
	*store.Restorable
	raw *RawClient
}

// Client returns a new client without a fault.
func (t *Table) Client() *Client {
	raw := t.RawClient()
	return &Client{Restorable: store.NewRestorable(raw, slog.New(slog.DiscardHandler)), raw: raw}
}

// SetFault sets the fault of the calls that this client begins from now on.
func (c *Client) SetFault(f Fault) { c.raw.SetFault(f) }

// RawClient is the same with the service's own numbers for revisions and leases.
type RawClient struct {
	table *Table

	mu    sync.Mutex
	fault Fault
	// lossyKey is the key of LoseAnswerTo, or empty.
	lossyKey string
}

var _ store.RawTable = (*RawClient)(nil)

// RawClient returns a new raw client without a fault.
func (t *Table) RawClient() *RawClient { return &RawClient{table: t} }

// SetFault sets the fault of the calls that this client begins from now on.
func (c *RawClient) SetFault(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// LoseAnswerTo loses the answer to the next transaction that puts a key and takes effect.
func (c *Client) LoseAnswerTo(key string) {
	c.raw.mu.Lock()
	defer c.raw.mu.Unlock()
	c.raw.lossyKey = key
}

// AnswerLost reports whether there was such a transaction since LoseAnswerTo.
func (c *Client) AnswerLost() bool {
	c.raw.mu.Lock()
	defer c.raw.mu.Unlock()
	return c.raw.lossyKey == ""
}

// losesAnswerTo reports whether the answer to a transaction is the one that LoseAnswerTo loses.
func (c *RawClient) losesAnswerTo(txn store.Txn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lossyKey == "" || !slices.ContainsFunc(txn.Puts, func(p store.Put) bool { return p.Key == c.lossyKey }) {
		return false
	}
	c.lossyKey = ""
	return true
}

// beginCall counts a call, ends expired leases and injects the faults that prevent a call
// from taking effect. It returns the client's fault for endCall.
func (c *RawClient) beginCall(ctx context.Context) (Fault, error) {
	c.mu.Lock()
	fault := c.fault
	c.mu.Unlock()
	c.table.mu.Lock()
	c.table.callCount++
	c.table.expire()
	c.table.mu.Unlock()
	switch fault {
	case FaultRefuse:
		return fault, fmt.Errorf("%w: call refused by an injected fault", store.ErrUnavailable)
	case FaultTimeout:
		<-ctx.Done()
		return fault, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	default:
		return fault, nil
	}
}

// endCall returns the error of a call that changes something. If the call has succeeded, it
// injects the loss of the answer.
func endCall(fault Fault, err error) error {
	if fault == FaultLoseAnswer && err == nil {
		return store.NewUnknownError(fmt.Errorf("answer dropped by an injected fault"))
	}
	return err
}

// List implements store.RawTable.
func (c *RawClient) List(ctx context.Context, prefix string) ([]store.Entry, uint64, uint64, error) {
	if _, err := c.beginCall(ctx); err != nil {
		return nil, 0, 0, err
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list(prefix), t.revision, t.era, nil
}

// Changes implements store.RawTable.
func (c *RawClient) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Entry, uint64, uint64, error) {
	if _, err := c.beginCall(ctx); err != nil {
		return nil, 0, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	t := c.table
	for timedOut := false; ; {
		t.mu.Lock()
		t.expire()
		changed, revision, era, compacted := t.changed, t.revision, t.era, after < t.compactedTo || after > t.revision
		var out []store.Entry
		for _, e := range t.changes {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e)
			}
		}
		t.mu.Unlock()
		if compacted {
			return nil, 0, era, store.ErrCompacted
		}
		if len(out) > 0 || timedOut {
			return out, revision, era, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, 0, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
		case <-changed:
		case <-timer.C:
			timedOut = true
		}
	}
}

// Commit implements store.RawTable.
func (c *RawClient) Commit(ctx context.Context, txn store.Txn) (uint64, uint64, error) {
	fault, err := c.beginCall(ctx)
	if err != nil {
		return 0, 0, err
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	revision, err := t.commit(txn)
	if fault == FaultLoseTxnAnswer || (err == nil && c.losesAnswerTo(txn)) {
		fault = FaultLoseAnswer
	}
	return revision, t.era, endCall(fault, err)
}

// Grant implements store.RawTable.
func (c *RawClient) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, uint64, error) {
	fault, err := c.beginCall(ctx)
	if err != nil {
		return 0, 0, 0, err
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastLeaseID++
	t.leases[t.lastLeaseID] = lease{ttl, time.Now().Add(ttl)}
	return t.lastLeaseID, ttl, t.era, endCall(fault, nil)
}

// Renew implements store.RawTable.
func (c *RawClient) Renew(ctx context.Context, id store.LeaseID) (uint64, error) {
	fault, err := c.beginCall(ctx)
	if err != nil {
		return 0, err
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.leases[id]
	if !ok {
		return t.era, store.ErrNotFound
	}
	t.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	return t.era, endCall(fault, nil)
}

// End implements store.RawTable.
func (c *RawClient) End(ctx context.Context, id store.LeaseID) (uint64, error) {
	fault, err := c.beginCall(ctx)
	if err != nil {
		return 0, err
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.leases[id]; !ok {
		return t.era, store.ErrNotFound
	}
	t.endLease(id)
	return t.era, endCall(fault, nil)
}
