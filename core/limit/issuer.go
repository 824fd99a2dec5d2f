package limit

import (
	"math/bits"
	"time"

	"pomelofork/core/assert"
)

const (
	// expiryMargin is the divisor of a grant's validity that an issuer adds before it
	// regards the grant as expired, because the requester's clock may run slower.
	expiryMargin = 10
	// prefetchDivisor is the divisor of the remaining level of which one request gets at
	// most one part beyond its need, so that prefetching for one cache doesn't empty the
	// bucket.
	prefetchDivisor = 4
	// emptyDivisor is the divisor of a token that yields the smallest amount worth asking
	// an empty issuer for. That amount from each share makes a whole token.
	emptyDivisor = Shares
	// maxEmpty limits the time for which an issuer is reported as empty, because other
	// caches may have returned tokens by then.
	maxEmpty = 100 * time.Millisecond
)

// IssuerConfig holds the settings of an issuer.
type IssuerConfig struct {
	// ID is unique among all issuers that ever existed in the fleet.
	ID uint64
	// Part is the index of the share.
	Part int
	// Share is the share of the account's rate and burst that the issuer may grant.
	Share Rate
	// Since is when the holder acquired the right. The bucket was empty then.
	Since time.Time
	// Validity is the maximum time for which grants are valid, from the sending of the
	// request.
	Validity time.Duration
	// Check records violated invariants. Nil checks nothing.
	Check *assert.Checker
}

// Issuer is the token bucket of one share. At all times its level and the amount that it
// granted and does not know to be spent are together at most the burst. So the amount spent
// in any window is at most the burst plus what accrues in the window. It isn't safe for
// concurrent use.
type Issuer struct {
	id       uint64
	share    Rate
	validity time.Duration
	check    *assert.Checker
	level    MicroTokens
	// remainder is the fraction of a micro-token that has accrued, in billionths.
	remainder uint64
	// filled is the time up to which accrued tokens are included in level.
	filled      time.Time
	seq         uint64
	outstanding outstandingGrants
	part        int
	observed    observedLevels
}

// NewIssuer returns the issuer of a share whose holder acquired it at c.Since. Its bucket
// holds what has accrued from then to now.
func NewIssuer(now time.Time, c IssuerConfig) *Issuer {
	i := &Issuer{id: c.ID, share: c.Share, validity: c.Validity, check: c.Check, filled: c.Since, outstanding: newOutstandingGrants(), part: c.Part}
	i.fill(now)
	return i
}

// Resume continues the bucket that a former holder handed over.
func (i *Issuer) Resume(now time.Time, h Handover) {
	i.fill(now)
	i.outstanding.inherit(inRange(h.Outstanding), now.Add(withMargin(i.validity)))
	i.level = min(i.level+inRange(h.Level), i.room())
	i.verify()
}

// Release empties the bucket and returns the state with which the next holder continues.
func (i *Issuer) Release(now time.Time) Handover {
	i.fill(now)
	h := Handover{Level: i.level, Outstanding: i.outstanding.sum()}
	i.level = 0
	return h
}

// SetShare changes the share's rate and burst. A lower burst reduces the level at once.
func (i *Issuer) SetShare(now time.Time, share Rate) {
	if share == i.share {
		return
	}
	i.fill(now)
	i.share = share
	i.remainder = 0
	i.level = min(i.level, i.room())
	i.verify()
}

// Draw applies the request's reports and grants at most the amount that it asks for.
func (i *Issuer) Draw(now time.Time, request DrawRequest) DrawResponse {
	i.fill(now)
	for _, report := range request.Reports {
		i.level += i.outstanding.applyReport(report, i.id)
	}
	amount := i.amount(request)
	response := DrawResponse{Amount: amount}
	if amount > 0 {
		i.seq++
		response.Grant = GrantID{Mint: i.id, Seq: i.seq}
		i.level -= amount
		i.outstanding.add(i.seq, amount, now.Add(withMargin(i.validityOf(request))))
	}
	i.observed.update(now, request.Levels)
	i.observed[i.part] = observedLevel{amount: i.level, at: now}
	response.Levels = i.observed.message(now)
	if i.level == 0 {
		wait, ok := i.share.AccrualTime(min(Token, i.share.burst) / emptyDivisor)
		if !ok || wait == 0 {
			wait = maxEmpty
		}
		response.EmptyFor = min(wait, maxEmpty)
	}
	i.verify()
	return response
}

// Level returns the amount that the issuer could grant now.
func (i *Issuer) Level(now time.Time) MicroTokens {
	i.fill(now)
	return i.level
}

// Outstanding returns the amount granted that may still be spent.
func (i *Issuer) Outstanding(now time.Time) MicroTokens {
	i.fill(now)
	return i.outstanding.sum()
}

// amount returns the amount to grant to a request.
func (i *Issuer) amount(request DrawRequest) MicroTokens {
	need := min(max(request.Need, 0), i.level)
	prefetch := min(max(request.Ahead, 0), (i.level-need)/prefetchDivisor)
	return need + prefetch
}

// validityOf returns the time for which a grant to a request is valid.
func (i *Issuer) validityOf(request DrawRequest) time.Duration {
	if request.Validity <= 0 {
		return i.validity
	}
	return min(request.Validity, i.validity)
}

// withMargin returns the time after which no token cache can spend a grant made now.
func withMargin(validity time.Duration) time.Duration { return validity + validity/expiryMargin }

// room returns the highest level that the burst allows beside the outstanding grants.
func (i *Issuer) room() MicroTokens { return max(i.share.burst-i.outstanding.sum(), 0) }

// fill adds what has accrued up to now and removes expired grants. It stops at the expiry of
// each grant, because that makes more room for what accrues. A time before the last one adds
// nothing: two goroutines may read the clock in one order and arrive here in the other.
func (i *Issuer) fill(now time.Time) {
	for {
		next, ok := i.outstanding.nextExpiry()
		if !ok || next.After(now) {
			break
		}
		i.accrue(next)
		i.outstanding.expire(next)
	}
	i.accrue(now)
}

// accrue adds what the rate yields up to a time, as far as there is room.
func (i *Issuer) accrue(until time.Time) {
	elapsed := until.Sub(i.filled)
	if elapsed <= 0 {
		return
	}
	i.filled = until
	room := i.room()
	high, low := bits.Mul64(uint64(elapsed), uint64(i.share.perSecond))
	low, carry := bits.Add64(low, i.remainder, 0)
	high += carry
	if high >= uint64(time.Second) {
		i.level, i.remainder = room, 0
		return
	}
	whole, remainder := bits.Div64(high, low, uint64(time.Second))
	if whole >= uint64(max(room-i.level, 0)) {
		i.level, i.remainder = room, 0
		return
	}
	i.level += MicroTokens(whole)
	i.remainder = remainder
}

// verify checks that level and outstanding grants are within the burst.
func (i *Issuer) verify() {
	i.check.Hold(i.level >= 0 && i.level <= i.room(), assert.InvariantRateAndBurst,
		"level of %d micro-tokens with %d outstanding, not within burst of %d", i.level, i.outstanding.sum(), i.share.burst)
}
