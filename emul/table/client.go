package table

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"pomelofork/io/store"
)

// Client is one machine's way to the service.
type Client struct {
	table *Table

	mu    sync.Mutex
	fault Fault
}

var _ store.Table = (*Client)(nil)

// Client returns a new way to the service, without a fault.
func (t *Table) Client() *Client { return &Client{table: t} }

// SetFault sets what happens to the calls of this client from now on.
func (c *Client) SetFault(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// enter counts a call and applies the fault. It returns the fault for what follows.
func (c *Client) enter(ctx context.Context) (Fault, error) {
	c.mu.Lock()
	fault := c.fault
	c.mu.Unlock()
	c.table.mu.Lock()
	c.table.calls++
	c.table.expire()
	c.table.mu.Unlock()
	switch fault {
	case FaultRefuse:
		return fault, fmt.Errorf("%w: turned away", store.ErrUnavailable)
	case FaultSilent:
		<-ctx.Done()
		return fault, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	default:
		return fault, nil
	}
}

// leave is the end of a changing call.
func leave(fault Fault, err error) error {
	if fault == FaultLost && err == nil {
		return store.NewUnknownError(fmt.Errorf("answer lost"))
	}
	return err
}

// List implements store.Table.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	if _, err := c.enter(ctx); err != nil {
		return nil, 0, err
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list(prefix), t.revision, nil
}

// Changes implements store.Table.
func (c *Client) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Entry, uint64, error) {
	if _, err := c.enter(ctx); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	t := c.table
	for over := false; ; {
		t.mu.Lock()
		t.expire()
		moved, revision, compacted := t.moved, t.revision, after < t.from
		var out []store.Entry
		for _, e := range t.changes {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e)
			}
		}
		t.mu.Unlock()
		if compacted {
			return nil, 0, store.ErrCompacted
		}
		if len(out) > 0 || over {
			return out, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
		case <-moved:
		case <-timer.C:
			over = true
		}
	}
}

// Commit implements store.Table.
func (c *Client) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	fault, err := c.enter(ctx)
	if err != nil {
		return 0, err
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	revision, err := c.table.commit(txn)
	if fault == FaultLostTxn {
		fault = FaultLost
	}
	return revision, leave(fault, err)
}

// Grant implements store.Table.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	fault, err := c.enter(ctx)
	if err != nil {
		return 0, 0, err
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	t.leases[t.lastID] = lease{ttl, time.Now().Add(ttl)}
	return t.lastID, ttl, leave(fault, nil)
}

// Renew implements store.Table.
func (c *Client) Renew(ctx context.Context, id store.LeaseID) error {
	fault, err := c.enter(ctx)
	if err != nil {
		return err
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.leases[id]
	if !ok {
		return store.ErrNotFound
	}
	t.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	return leave(fault, nil)
}

// End implements store.Table.
func (c *Client) End(ctx context.Context, id store.LeaseID) error {
	fault, err := c.enter(ctx)
	if err != nil {
		return err
	}
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.leases[id]; !ok {
		return store.ErrNotFound
	}
	t.end(id)
	return leave(fault, nil)
}
