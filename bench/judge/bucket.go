package judge

import "time"

// bucket is one exact token bucket, the reference for refusals.
type bucket struct {
	rate   Rate
	tokens float64
	last   time.Duration
}

// take draws one token at the given moment and reports whether there was one.
func (b *bucket) take(at time.Duration) bool {
	b.tokens = min(b.rate.Burst, b.tokens+b.rate.PerSecond*(at-b.last).Seconds())
	b.last = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
