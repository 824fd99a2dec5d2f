package quota

import (
	"time"

	"pomelofork/core/limit"
)

// bucket is a plain token bucket in whole and parts of tokens.
type bucket struct {
	perSecond float64
	burst     float64
	level     float64
	at        time.Time
}

// newBucket returns a full bucket that has a part of a rate.
func newBucket(now time.Time, rate limit.Rate, part float64) *bucket {
	b := &bucket{at: now}
	b.resize(now, rate, part)
	b.level = b.burst
	return b
}

// resize changes the part. The level is cut to the new burst.
func (b *bucket) resize(now time.Time, rate limit.Rate, part float64) {
	b.fill(now)
	b.perSecond = part * float64(rate.PerSecond()) / float64(limit.Token)
	b.burst = part * float64(rate.Burst()) / float64(limit.Token)
	b.level = min(b.level, b.burst)
}

// fill adds what has accrued.
func (b *bucket) fill(now time.Time) {
	b.level = min(b.burst, b.level+b.perSecond*now.Sub(b.at).Seconds())
	b.at = now
}

// take takes a token if there is one.
func (b *bucket) take(now time.Time) bool {
	b.fill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
