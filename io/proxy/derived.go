package proxy

import "sync"

// derived caches a value that is computed from one part of the state.
type derived[T any] struct {
	mu    sync.Mutex
	valid bool
	// changes is the count of changes of that part for which value was computed.
	changes uint64
	value   T
}

// get returns the value for a count of changes of the part. It calls compute if the
// cached value belongs to another count.
func (d *derived[T]) get(changes uint64, compute func() T) T {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.valid || d.changes != changes {
		d.value, d.changes, d.valid = compute(), changes, true
	}
	return d.value
}
