package limit

import (
	"slices"
	"time"
)

// shortValidity returns the validity of grants that are spent as soon as they arrive. Such a
// grant stops counting against the issuer's burst soon, without a report.
func (c *TokenCache) shortValidity() time.Duration {
	return min(max(shortValidityTrips*c.trip, minShortValidity), c.validity)
}

// Draws returns the draws to send now.
func (c *TokenCache) Draws(now time.Time) []Draw {
	c.held.expire(now)
	need := max(MicroTokens(len(c.queue))*Token-c.held.total(), 0)
	prefetch := c.prefetchAmount(now)
	if need == 0 && (c.held.total() >= prefetch/2 || now.Before(c.prefetchAt)) {
		return nil
	}
	share, ok := c.bestShare(now)
	if !ok || c.awaitsResponse(now, need) {
		return nil
	}
	if need > 0 && c.rate.burst <= smallBurst {
		return c.drawEvenly(now, need)
	}
	return []Draw{c.draw(now, share, need, prefetch)}
}

// drawEvenly returns draws of equal parts from all shares whose issuers can be asked. Nothing
// accrues in a share that is full while another has room. With a small burst that would cost a
// large part of the rate, unless all shares are kept at the same level.
func (c *TokenCache) drawEvenly(now time.Time, need MicroTokens) []Draw {
	var available []int
	for i := range c.shares {
		if c.shares[i].canAsk(now) {
			available = append(available, i)
		}
	}
	var draws []Draw
	for n, share := range available {
		part := need / MicroTokens(len(available)-n)
		need -= part
		draws = append(draws, c.draw(now, share, part, 0))
	}
	return draws
}

// draw returns a draw from one share, with the reports due for it.
func (c *TokenCache) draw(now time.Time, share int, need, prefetch MicroTokens) Draw {
	c.prefetchAt = now.Add(prefetchPause)
	c.shares[share].inFlight = true
	c.shares[share].sent = now
	c.shares[share].reported = now
	validity := c.validity
	if prefetch == 0 {
		validity = c.shortValidity()
	}
	return Draw{
		Share:   share,
		Request: DrawRequest{Need: need, Ahead: prefetch, Validity: validity, Reports: c.held.takeReports(share, false), Levels: c.observed.message(now)},
		Sent:    now,
	}
}

// prefetchAmount returns the amount that the cache should hold for requests to come. With few
// requests it is zero, because tokens in one cache are missing in others.
func (c *TokenCache) prefetchAmount(now time.Time) MicroTokens {
	amount := min(Tokens(c.usage.rate(now)*prefetchFor.Seconds()), c.rate.burst)
	if amount < minPrefetch {
		return 0
	}
	return amount
}

// bestShare returns the share to ask next: of those whose issuers can be asked now, the one
// with the highest expected level, and at equal levels the one that was not asked for longest,
// so that the shares stay at similar levels. It returns false if there is none.
func (c *TokenCache) bestShare(now time.Time) (int, bool) {
	best, level := -1, MicroTokens(0)
	for i := range c.shares {
		state := &c.shares[i]
		if !state.canAsk(now) {
			continue
		}
		expected := state.expectedLevel(now, c.observed[i])
		if best < 0 || expected > level || expected == level && state.sent.Before(c.shares[best].sent) {
			best, level = i, expected
		}
	}
	return best, best >= 0
}

// awaitsResponse reports whether to wait for a missing response before the next draw. When
// requests wait, a response that takes longer than hedgeAfter is not waited for.
func (c *TokenCache) awaitsResponse(now time.Time, need MicroTokens) bool {
	return slices.ContainsFunc(c.shares[:], func(s shareState) bool {
		return s.inFlight && (need == 0 || now.Sub(s.sent) < hedgeAfter)
	})
}

// Tick returns the draws to send now, with reports of what was spent and returns of grants
// that are idle or about to expire. The caller calls it every few tens of milliseconds while
// Busy returns true.
func (c *TokenCache) Tick(now time.Time) []Draw {
	c.held.expire(now)
	first, ok := c.held.firstExpiry()
	returnAll := len(c.queue) == 0 && (now.Sub(c.lastTake) >= idleAfter || ok && first.Sub(now) < returnBefore)
	var draws []Draw
	for share := range c.shares {
		state := &c.shares[share]
		if !returnAll && now.Sub(state.reported) < reportPause {
			continue
		}
		state.reported = now
		if reports := c.held.takeReports(share, returnAll); len(reports) > 0 {
			draws = append(draws, Draw{Share: share, Request: DrawRequest{Reports: reports}, Sent: now, ReportOnly: true})
		}
	}
	return append(draws, c.Draws(now)...)
}
