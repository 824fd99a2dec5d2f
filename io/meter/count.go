package meter

import (
	"strconv"
	"sync/atomic"
)

// count is a number that several goroutines add to.
type count struct {
	n atomic.Int64
}

// add adds delta.
func (c *count) add(delta int64) { c.n.Add(delta) }

// set replaces the number.
func (c *count) set(value int64) { c.n.Store(value) }

// raise replaces the number by a larger one.
func (c *count) raise(value int64) {
	for {
		old := c.n.Load()
		if value <= old || c.n.CompareAndSwap(old, value) {
			return
		}
	}
}

// MarshalJSON implements json.Marshaler.
func (c *count) MarshalJSON() ([]byte, error) {
	return strconv.AppendInt(nil, c.n.Load(), 10), nil
}
