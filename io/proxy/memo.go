package proxy

import "sync"

// memo keeps what was worked out from a part of the state until that part changes.
type memo[T any] struct {
	mu    sync.Mutex
	valid bool
	count uint64
	value T
}

// get returns the kept value, or works it out for this count of the part's changes.
func (m *memo[T]) get(count uint64, work func() T) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.valid || m.count != count {
		m.value, m.count, m.valid = work(), count, true
	}
	return m.value
}
