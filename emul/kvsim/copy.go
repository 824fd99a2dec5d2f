package kvsim

import (
	"maps"

	"pomelofork/io/store"
)

// Copy is a copy of the service's content, from which it can be restored.
type Copy struct {
	entries     map[string]store.Entry
	leases      map[store.LeaseID]lease
	lastLeaseID store.LeaseID
	revision    uint64
}

// Copy returns a copy of the present content.
func (t *Table) Copy() Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Copy{entries: maps.Clone(t.entries), leases: maps.Clone(t.leases), lastLeaseID: t.lastLeaseID, revision: t.revision}
}

// Restore replaces the content by that of a copy. What was written since the copy was made is lost,
// and its revisions and lease numbers are given out again. Each restore begins a new era.
func (t *Table) Restore(c Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries, t.leases = maps.Clone(c.entries), maps.Clone(c.leases)
	t.lastLeaseID, t.revision, t.compactedTo, t.changes = c.lastLeaseID, c.revision, c.revision, nil
	t.era++
	t.notifyChange()
}

// Era returns the number of restores.
func (t *Table) Era() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}
