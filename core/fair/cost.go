package fair

import "time"

// costWeight is the weight of the newest measurement in the running mean of the
// cost of an account: one part of this many.
const costWeight = 8

// cost is the running mean of the slot time of one account's items.
type cost struct {
	mean time.Duration
}

// add takes in one measurement.
func (c *cost) add(measured time.Duration) {
	c.mean += (measured - c.mean) / costWeight
}
