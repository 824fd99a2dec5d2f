// Package kvsim emulates, in memory, the platform's key-value service with transactions,
// watches by prefix and leases. Tests can inject faults into the calls of each client.
package kvsim

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"pomelofork/io/store"
)

// Fault is a fault that is injected into the calls of a client.
type Fault uint8

// The faults. Calls that change something are Commit, Grant, Renew and End.
const (
	// FaultNone injects no fault.
	FaultNone Fault = iota
	// FaultRefuse makes calls fail at once without effect.
	FaultRefuse
	// FaultTimeout makes calls block until their context ends, and then fail without
	// effect.
	FaultTimeout
	// FaultLoseAnswer makes each call that changes something take effect and then return a
	// *store.UnknownError.
	FaultLoseAnswer
	// FaultLoseTxnAnswer has the effect of FaultLoseAnswer on Commit, and none on other
	// calls.
	FaultLoseTxnAnswer
)

// Table is the key-value service. Use New to create one; the zero value isn't usable.
type Table struct {
	mu      sync.Mutex
	entries map[string]store.Entry
	// changes are the changes after the revision compactedTo, oldest first.
	changes     []store.Entry
	revision    uint64
	compactedTo uint64
	// era is the number of restores.
	era         uint64
	leases      map[store.LeaseID]lease
	lastLeaseID store.LeaseID
	// changed is closed and replaced at each change.
	changed   chan struct{}
	callCount int
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// New returns a service without entries.
func New() *Table {
	return &Table{entries: map[string]store.Entry{}, leases: map[store.LeaseID]lease{}, changed: make(chan struct{}), revision: 1, compactedTo: 1}
}

// Calls returns the number of calls that all clients have made, including the failed ones.
func (t *Table) Calls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.callCount
}

// Set writes an entry without a lease, as the operator or a backend server does, and
// returns its revision.
func (t *Table) Set(key string, value []byte) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	t.put(store.Entry{Key: key, Value: value})
	return t.revision
}

// Remove removes the entry under a key, if there is one.
func (t *Table) Remove(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	t.remove(key)
}

// Get returns the entry under a key, or false if there is none.
func (t *Table) Get(key string) (store.Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	e, ok := t.entries[key]
	return e, ok
}

// TTL returns the time to live with which a lease was granted, or zero if it has ended.
func (t *Table) TTL(id store.LeaseID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	return t.leases[id].ttl
}

// Compact discards all recorded changes. A watch from an earlier revision then returns
// store.ErrCompacted.
func (t *Table) Compact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes, t.compactedTo = nil, t.revision
	t.notifyChange()
}

// Revision returns the current revision.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	return t.revision
}

// put writes an entry at the current revision. The caller holds the lock.
func (t *Table) put(e store.Entry) {
	e.Revision = t.revision
	t.entries[e.Key] = e
	t.changes = append(t.changes, e)
	t.notifyChange()
}

// remove removes an entry at the current revision. The caller holds the lock.
func (t *Table) remove(key string) {
	if _, ok := t.entries[key]; !ok {
		return
	}
	delete(t.entries, key)
	t.changes = append(t.changes, store.Entry{Key: key, Revision: t.revision, Removed: true})
	t.notifyChange()
}

// notifyChange wakes the watches. The caller holds the lock.
func (t *Table) notifyChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// expire ends the leases whose time to live is over. The caller holds the lock.
func (t *Table) expire() {
	for id, l := range t.leases {
		if time.Now().After(l.expiresAt) {
			t.endLease(id)
		}
	}
}

// endLease ends a lease and removes its entries, all at one new revision. The caller holds
// the lock.
func (t *Table) endLease(id store.LeaseID) {
	delete(t.leases, id)
	t.revision++
	for key, e := range t.entries {
		if e.Lease == id {
			t.remove(key)
		}
	}
}

// list returns the entries whose keys have a prefix, ordered by key. The caller holds the
// lock.
func (t *Table) list(prefix string) []store.Entry {
	var out []store.Entry
	for key, e := range t.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// maxEntries is the maximum number of conditions and changes in one transaction.
const maxEntries = 32

// commit applies a transaction. All its changes get the same revision. It fails with
// store.ErrConflict if an entry doesn't have the expected revision, and with
// store.ErrNotFound if an entry is to be written under a lease that has ended. The caller
// holds the lock.
func (t *Table) commit(txn store.Txn) (uint64, error) {
	if n := len(txn.Expected) + len(txn.Puts) + len(txn.Deletes); n > maxEntries {
		return 0, store.NewRequestError(http.StatusBadRequest, fmt.Sprintf("a transaction with %d conditions and changes is too large", n))
	}
	if slices.ContainsFunc(txn.Puts, func(p store.Put) bool { return len(p.Key) > store.MaxKeyBytes }) {
		return 0, store.NewRequestError(http.StatusBadRequest, "a key is too long")
	}
	for _, c := range txn.Expected {
		if t.entries[c.Key].Revision != c.Revision {
			return 0, store.ErrConflict
		}
	}
	for _, p := range txn.Puts {
		if _, ok := t.leases[p.Lease]; p.Lease != 0 && !ok {
			return 0, store.ErrNotFound
		}
	}
	t.revision++
	for _, p := range txn.Puts {
		t.put(store.Entry{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range txn.Deletes {
		t.remove(key)
	}
	return t.revision, nil
}
