package burn

// Count is a number of events since some start, and how many of them were bad.
// Events may be requests, or milliseconds of a service's time.
type Count struct {
	total, bad float64
}

// NewCount returns the count.
func NewCount(total, bad float64) Count { return Count{total: total, bad: bad} }

// Total returns the number of events.
func (c Count) Total() float64 { return c.total }

// Bad returns the number of bad events.
func (c Count) Bad() float64 { return c.bad }

// Plus returns the sum of two counts.
func (c Count) Plus(d Count) Count { return Count{c.total + d.total, c.bad + d.bad} }

// Minus returns what came after the earlier count d.
func (c Count) Minus(d Count) Count { return Count{c.total - d.total, c.bad - d.bad} }

// BadShare returns the share of bad events, and 0 when nothing happened.
func (c Count) BadShare() float64 {
	if c.total <= 0 {
		return 0
	}
	return c.bad / c.total
}
