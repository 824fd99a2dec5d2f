package meter

import (
	"strconv"
	"sync/atomic"
)

// metric is a number that goroutines may change concurrently: a counter or a current value.
type metric struct {
	n atomic.Int64
}

// add adds delta to the value.
func (m *metric) add(delta int64) { m.n.Add(delta) }

// set replaces the value.
func (m *metric) set(value int64) { m.n.Store(value) }

// setMax sets the value if the given one is larger.
func (m *metric) setMax(value int64) {
	for {
		old := m.n.Load()
		if value <= old || m.n.CompareAndSwap(old, value) {
			return
		}
	}
}

// MarshalJSON implements json.Marshaler.
func (m *metric) MarshalJSON() ([]byte, error) {
	return strconv.AppendInt(nil, m.n.Load(), 10), nil
}
