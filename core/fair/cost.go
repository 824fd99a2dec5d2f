package fair

import "time"

// costDivisor is the divisor of a new measurement in the running mean of an account's
// cost: it counts for one eighth.
const costDivisor = 8

// cost is the running mean of the slot time of the items of one account.
type cost struct {
	mean time.Duration
}

// add updates the mean with one measurement.
func (c *cost) add(measured time.Duration) {
	c.mean += (measured - c.mean) / costDivisor
}
