package burn

// Count is a number of events and the number of bad ones among them. Depending on the
// objective, an event is a request or a millisecond of a service's time.
type Count struct {
	total, bad float64
}

// NewCount returns a count of total events, of which bad ones were bad.
func NewCount(total, bad float64) Count { return Count{total: total, bad: bad} }

// Total returns the number of events.
func (c Count) Total() float64 { return c.total }

// Bad returns the number of bad events.
func (c Count) Bad() float64 { return c.bad }

// Plus returns the sum of two counts.
func (c Count) Plus(d Count) Count { return Count{c.total + d.total, c.bad + d.bad} }

// Minus returns the difference of two counts: the events between the earlier count d and
// c, if both started at the same time.
func (c Count) Minus(d Count) Count { return Count{c.total - d.total, c.bad - d.bad} }

// BadShare returns the share of bad events, from 0 to 1. It is 0 if there were no events.
func (c Count) BadShare() float64 {
	if c.total <= 0 {
		return 0
	}
	return c.bad / c.total
}
