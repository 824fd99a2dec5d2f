package meter

import (
	"encoding/json"
	"sync"
)

// otherName is the name for everything beyond the limit of names in a family.
const otherName = "other"

// family holds a set of metrics for each name. The number of names is bounded.
type family[T any] struct {
	mu     sync.RWMutex
	limit  int
	byName map[string]*T
}

// newFamily returns an empty family for at most limit names and the name "other".
func newFamily[T any](limit int) *family[T] {
	return &family[T]{limit: limit, byName: map[string]*T{}}
}

// get returns the metrics of a name. It creates them if needed, and returns those of "other"
// if the family is at its limit.
func (f *family[T]) get(name string) *T {
	f.mu.RLock()
	found, ok := f.byName[name]
	f.mu.RUnlock()
	if ok {
		return found
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.byName[name]; !ok && len(f.byName) >= f.limit {
		name = otherName
	}
	if f.byName[name] == nil {
		f.byName[name] = new(T)
	}
	return f.byName[name]
}

// MarshalJSON implements json.Marshaler.
func (f *family[T]) MarshalJSON() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return json.Marshal(f.byName)
}
