package meter

import (
	"encoding/json"
	"sync"
)

// otherName collects what has no name of its own once a family is full.
const otherName = "other"

// family holds the counters of one kind by name. The number of names is bounded.
type family[T any] struct {
	mu    sync.RWMutex
	limit int
	named map[string]*T
}

// newFamily returns a family of at most limit names, besides "other".
func newFamily[T any](limit int) *family[T] {
	return &family[T]{limit: limit, named: map[string]*T{}}
}

// get returns the counters of a name, or those of "other" when there is no room.
func (f *family[T]) get(name string) *T {
	f.mu.RLock()
	found, ok := f.named[name]
	f.mu.RUnlock()
	if ok {
		return found
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.named[name]; !ok && len(f.named) >= f.limit {
		name = otherName
	}
	if f.named[name] == nil {
		f.named[name] = new(T)
	}
	return f.named[name]
}

// MarshalJSON implements json.Marshaler.
func (f *family[T]) MarshalJSON() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return json.Marshal(f.named)
}
