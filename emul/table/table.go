// Package table is a stand-in for the platform's key-value service with transactions,
// watches by prefix and leases, in memory, with the faults that a test asks for.
package table

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"pomelofork/io/store"
)

// Fault says what happens to calls.
type Fault uint8

// The faults.
const (
	// FaultNone lets calls through.
	FaultNone Fault = iota
	// FaultRefuse turns calls away; nothing is done.
	FaultRefuse
	// FaultSilent lets calls wait for an answer that never comes; nothing is done.
	FaultSilent
	// FaultLost does what a changing call asks and loses the answer.
	FaultLost
	// FaultLostTxn does what a transaction asks and loses the answer; other calls are
	// answered.
	FaultLostTxn
)

// Table is the service. The zero value isn't usable; see New.
type Table struct {
	mu       sync.Mutex
	items    map[string]store.Entry
	changes  []store.Entry
	revision uint64
	from     uint64
	leases   map[store.LeaseID]lease
	lastID   store.LeaseID
	moved    chan struct{}
	calls    int
}

// lease is a lease and when it ends.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// New returns an empty service.
func New() *Table {
	return &Table{items: map[string]store.Entry{}, leases: map[store.LeaseID]lease{}, moved: make(chan struct{}), revision: 1, from: 1}
}

// Calls returns the number of calls so far.
func (t *Table) Calls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// Set writes an item as the operator or a backend server does.
func (t *Table) Set(key string, value []byte) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	t.put(store.Entry{Key: key, Value: value})
	return t.revision
}

// Remove removes an item.
func (t *Table) Remove(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	t.remove(key)
}

// Get returns the item under a key.
func (t *Table) Get(key string) (store.Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	e, ok := t.items[key]
	return e, ok
}

// TTL returns the time to live that a lease was granted, or zero if it has ended.
func (t *Table) TTL(id store.LeaseID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	return t.leases[id].ttl
}

// Compact forgets the history.
func (t *Table) Compact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes, t.from = nil, t.revision
	t.wake()
}

// Revision returns the present revision.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	return t.revision
}

// put writes an item at the present revision.
func (t *Table) put(e store.Entry) {
	e.Revision = t.revision
	t.items[e.Key] = e
	t.changes = append(t.changes, e)
	t.wake()
}

func (t *Table) remove(key string) {
	if _, ok := t.items[key]; !ok {
		return
	}
	delete(t.items, key)
	t.changes = append(t.changes, store.Entry{Key: key, Revision: t.revision, Removed: true})
	t.wake()
}

func (t *Table) wake() {
	close(t.moved)
	t.moved = make(chan struct{})
}

// expire ends the leases whose time is over.
func (t *Table) expire() {
	for id, l := range t.leases {
		if time.Now().After(l.ends) {
			t.end(id)
		}
	}
}

// end ends a lease with its items.
func (t *Table) end(id store.LeaseID) {
	delete(t.leases, id)
	t.revision++
	for key, e := range t.items {
		if e.Lease == id {
			t.remove(key)
		}
	}
}

// list returns the items under a prefix by key.
func (t *Table) list(prefix string) []store.Entry {
	var out []store.Entry
	for key, e := range t.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// maxEntries bounds the conditions and changes of one transaction.
const maxEntries = 32

// commit makes a transaction. All that it changes has one revision.
func (t *Table) commit(txn store.Txn) (uint64, error) {
	if n := len(txn.Expected) + len(txn.Puts) + len(txn.Deletes); n > maxEntries {
		return 0, store.NewRequestError(http.StatusBadRequest, fmt.Sprintf("%d entries in a transaction", n))
	}
	for _, c := range txn.Expected {
		if t.items[c.Key].Revision != c.Revision {
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
