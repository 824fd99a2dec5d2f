package limit_test

import (
	"time"

	"pomelofork/core/limit"
)

// bound checks that spent tokens never exceed burst and rate in any window.
type bound struct {
	rate  limit.Rate
	skew  float64
	level float64
	at    time.Duration
}

func newBound(rate limit.Rate, skew float64) *bound {
	return &bound{rate: rate, skew: skew, level: float64(rate.Burst())}
}

// spend notes one token, and returns by how much the bound is exceeded. A clock that
// runs fast may mint that much faster.
func (b *bound) spend(now time.Duration) float64 {
	accrued := float64(b.rate.PerSecond()) * (now - b.at).Seconds() * (1 + b.skew)
	b.level = min(b.level+accrued, float64(b.rate.Burst())) - float64(limit.Token)
	b.at = now
	return -b.level
}
