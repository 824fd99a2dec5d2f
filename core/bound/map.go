// Package bound holds maps whose size is bounded although their keys aren't: configurations and registrations name
// new services, servers, client accounts and routes for as long as a process runs.
//
// Load pattern: routes, services and accounts come, go and return with each configuration, thousands of times a day.
package bound

import "time"

// Config holds the settings of a Map.
type Config[K comparable, V any] struct {
	// Limit is the number of values up to which none is dropped.
	Limit int
	// Unused is the time after its last use from which a value may be dropped.
	Unused time.Duration
	// New returns the value of a new key.
	New func(K) V
	// InUse reports whether a value must be kept although nobody has asked for it. Nil means that none must.
	InUse func(V) bool
}

// Map holds a value for each key that was used recently. A key that was dropped and returns gets a new value, so a Map
// is only for what may be forgotten. It holds at most Config.Limit values, or twice as many as were in use at a time.
// It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	config  Config[K, V]
	entries map[K]*entry[V]
	// limit is the size at which values are dropped next.
	limit   int
	dropped int
}

// entry is the value of one key.
type entry[V any] struct {
	value  V
	usedAt time.Time
}

// NewMap returns an empty map.
func NewMap[K comparable, V any](c Config[K, V]) *Map[K, V] {
	return &Map[K, V]{config: c, entries: map[K]*entry[V]{}, limit: c.Limit}
}

// Get returns the value of a key, and a new one if the map has none.
func (m *Map[K, V]) Get(now time.Time, key K) V {
	e, ok := m.entries[key]
	if !ok {
		if len(m.entries) >= m.limit {
			m.dropUnused(now)
		}
		e = &entry[V]{value: m.config.New(key)}
		m.entries[key] = e
	}
	e.usedAt = now
	return e.value
}

// Find returns the value of a key without using it, and false if the map has none.
func (m *Map[K, V]) Find(key K) (V, bool) {
	if e, ok := m.entries[key]; ok {
		return e.value, true
	}
	var none V
	return none, false
}

// Len returns the number of values.
func (m *Map[K, V]) Len() int { return len(m.entries) }

// Dropped returns how many values have been dropped so far.
func (m *Map[K, V]) Dropped() int { return m.dropped }

// dropUnused drops the values that may be dropped. What is left must double before it looks again, so that it costs
// little for each new key.
func (m *Map[K, V]) dropUnused(now time.Time) {
	before := len(m.entries)
	for key, e := range m.entries {
		if now.Sub(e.usedAt) >= m.config.Unused && (m.config.InUse == nil || !m.config.InUse(e.value)) {
			delete(m.entries, key)
		}
	}
	m.dropped += before - len(m.entries)
	m.limit = max(m.config.Limit, 2*len(m.entries))
}
