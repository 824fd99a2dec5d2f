package ramp

import "math"

// Limit is the number of statements that a cold server may get in any second, relative to the rate
// that the configuration states for it.
type Limit struct {
	// Factor multiplies the stated rate.
	Factor float64
	// Slack is added to the product, in statements.
	Slack float64
}

// Valid reports whether the limit can be used. A limit that isn't stated is valid.
func (l Limit) Valid() bool {
	return !math.IsNaN(l.Factor) && !math.IsNaN(l.Slack) && l.Factor >= 0 && l.Slack >= 0
}

// Max returns the number of statements that a cold server with the given rate may get in any second
// from all instances together. It is zero if the limit or the rate is invalid.
func (l Limit) Max(perSecond float64) int {
	limit := perSecond*l.Factor + l.Slack
	if !l.Valid() || math.IsNaN(limit) || perSecond <= 0 || limit < 1 {
		return 0
	}
	return int(min(limit, math.MaxInt32))
}
