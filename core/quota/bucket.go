// Package quota enforces one client account's rate and burst over the whole fleet with
// token buckets, which issuers hold and from which the entries draw tokens into caches.
// Beyond the tokens needed at once, an entry prefetches some for operations to come. The
// rate is divided among up to MaxIssuers issuers. Acting as an issuer is a right: a named
// exclusive role that one instance at a time holds by lease.
//
// The load pattern that it is made for: one account sends many times its rate at every
// entry at once, while the others stay below theirs. An entry whose cache is empty draws
// from a bucket before it rejects an operation, so an operation is never rejected only
// because the account's callers are spread unevenly over the entries.
package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// prefetchWindow is the time in which prefetched tokens count as not yet spent. It
	// is the lifetime of such a token in a cache.
	prefetchWindow = TokenLife
	// prefetchShare is the fraction of the tokens allowed within prefetchSpan, burst
	// included, that may be prefetched within prefetchWindow.
	prefetchShare = 0.04
	// prefetchSpan is the time whose allowed tokens prefetchShare refers to.
	prefetchSpan = 5 * time.Second
)

// Bucket is one issuer's token bucket for an account. A token pays for one operation. It
// isn't safe for concurrent use.
type Bucket struct {
	limiter *rate.Limiter
	// prefetched is the number of tokens prefetched since windowStart.
	prefetched  float64
	windowStart time.Time
}

// NewBucket returns an empty bucket that fills at perSecond tokens a second up to burst,
// rounded up. It starts empty because the tokens that a former holder issued count against
// the burst, and their number is unknown.
func NewBucket(now time.Time, perSecond, burst float64) *Bucket {
	return NewRestartedBucket(now, perSecond, burst, 0)
}

// NewRestartedBucket returns the same with the given number of tokens in it.
func NewRestartedBucket(now time.Time, perSecond, burst float64, tokens int) *Bucket {
	b := &Bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), int(math.Ceil(burst)))}
	b.limiter.ReserveN(now, max(b.limiter.Burst()-tokens, 0))
	return b
}

// SetLimits changes the rate and the burst from now on.
func (b *Bucket) SetLimits(now time.Time, perSecond, burst float64) {
	if float64(b.limiter.Limit()) != perSecond {
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
	if b.limiter.Burst() != int(math.Ceil(burst)) {
		b.limiter.SetBurstAt(now, int(math.Ceil(burst)))
	}
}

// Grant is the result of a draw.
type Grant struct {
	// Tokens is the number of tokens granted, one for each operation.
	Tokens int
	// Delay is the time to wait before the tokens may be spent, because they accrue only
	// then.
	Delay time.Duration
	// RetryAfter is the time after which to draw again if nothing was granted.
	RetryAfter time.Duration
}

// Draw takes tokens from the bucket. It grants need tokens for waiting operations if they
// are available or accrue within maxWait, or else none. If they are available at once it
// adds up to prefetch tokens, but at most half of what remains and only as many as
// prefetchShare allows.
func (b *Bucket) Draw(now time.Time, need, prefetch int, maxWait time.Duration) Grant {
	level := b.limiter.TokensAt(now)
	if float64(need) > level {
		reserved := b.limiter.ReserveN(now, need)
		if !reserved.OK() {
			return Grant{RetryAfter: time.Second}
		}
		delay := reserved.DelayFrom(now)
		if delay > maxWait {
			reserved.CancelAt(now)
			return Grant{RetryAfter: delay}
		}
		return Grant{Tokens: need, Delay: delay}
	}
	granted := need
	if extra := min(prefetch, int((level-float64(need))/2), b.prefetchRoom(now)); extra > 0 {
		b.prefetched += float64(extra)
		granted += extra
	}
	b.limiter.AllowN(now, granted)
	return Grant{Tokens: granted}
}

// prefetchRoom returns how many more tokens may be prefetched in the current window.
func (b *Bucket) prefetchRoom(now time.Time) int {
	if now.Sub(b.windowStart) > prefetchWindow {
		b.prefetched, b.windowStart = 0, now
	}
	allowance := prefetchShare * (float64(b.limiter.Limit())*prefetchSpan.Seconds() + float64(b.limiter.Burst()))
	return int(allowance - b.prefetched)
}
