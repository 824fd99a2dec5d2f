package limit

import (
	"math/bits"
	"time"

	"pomelofork/core/lease"
)

// Shares is the number of shares of each client account. It is the same for every account
// and every fleet size, so that neither a configuration change nor a new member changes
// the size of a share.
const Shares = lease.AccountShares

// Rate limits a client account or one share of it: in every window of time at most the
// burst plus the rate times the window may be spent. The zero value allows nothing.
type Rate struct {
	perSecond MicroTokens
	burst     MicroTokens
}

// RateConfig holds the parts of a rate.
type RateConfig struct {
	// PerSecond is the amount that accrues in a second.
	PerSecond MicroTokens
	// Burst is the largest amount that can be saved up.
	Burst MicroTokens
}

// NewRate returns the rate with the given parts. Negative parts count as zero.
func NewRate(c RateConfig) Rate {
	return Rate{perSecond: max(c.PerSecond, 0), burst: max(c.Burst, 0)}
}

// PerSecond returns the amount that accrues in a second.
func (r Rate) PerSecond() MicroTokens { return r.perSecond }

// Burst returns the largest amount that can be saved up.
func (r Rate) Burst() MicroTokens { return r.burst }

// Share returns the share with index i, from 0 to Shares-1. The shares add up to the whole
// rate exactly.
func (r Rate) Share(i int) Rate {
	return Rate{perSecond: part(r.perSecond, i), burst: part(r.burst, i)}
}

// part returns the part with index i of an amount divided into Shares parts.
func part(whole MicroTokens, i int) MicroTokens {
	n := MicroTokens(i)
	return whole/Shares*(n+1) + whole%Shares*(n+1)/Shares - whole/Shares*n - whole%Shares*n/Shares
}

// AccrualTime returns the time in which an amount accrues, rounded up. It returns false if
// the rate is zero or the time is too long for a time.Duration.
func (r Rate) AccrualTime(amount MicroTokens) (time.Duration, bool) {
	if amount <= 0 {
		return 0, true
	}
	if r.perSecond == 0 {
		return 0, false
	}
	high, low := bits.Mul64(uint64(amount), uint64(time.Second))
	if high >= uint64(r.perSecond) {
		return 0, false
	}
	quotient, rest := bits.Div64(high, low, uint64(r.perSecond))
	if rest > 0 {
		quotient++
	}
	if quotient > uint64(1<<62) {
		return 0, false
	}
	return time.Duration(quotient), true
}
