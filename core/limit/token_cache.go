package limit

import (
	"slices"
	"time"
)

const (
	// prefetchFor is the time whose usage, at the recent rate, a cache prefetches.
	prefetchFor = 50 * time.Millisecond
	// prefetchPause is the time after a request during which a cache sends none that only
	// prefetches.
	prefetchPause = 10 * time.Millisecond
	// reportPause is the time between two reports to one share's issuer.
	reportPause = 100 * time.Millisecond
	// minShortValidity and shortValidityTrips are the lower bounds of the validity of a
	// grant that is spent as soon as it arrives: a time, and a number of recent round
	// trips.
	minShortValidity   = 50 * time.Millisecond
	shortValidityTrips = 5
	// tripWeight is the divisor by which a shorter round trip moves the estimate.
	tripWeight = 8
	// idleAfter is the time without a request after which grants are returned.
	idleAfter = 100 * time.Millisecond
	// returnBefore is the time before its expiry at which a grant is returned.
	returnBefore = 250 * time.Millisecond
	// hedgeAfter is the time after which a missing response no longer keeps the cache
	// from asking other shares' issuers.
	hedgeAfter = 20 * time.Millisecond
	// failurePause is the time for which an issuer isn't asked after it did not respond.
	failurePause = 100 * time.Millisecond
)

// smallBurst is the burst up to which every share is asked for an equal part of the need.
const smallBurst = 32 * Token

// minPrefetch is the smallest amount that is worth prefetching.
const minPrefetch = 2 * Token

// TokenCacheConfig holds the settings of a token cache.
type TokenCacheConfig struct {
	// Rate is the account's whole rate.
	Rate Rate
	// Validity is the maximum time for which grants are valid, from the sending of the
	// request.
	Validity time.Duration
}

// TokenCache holds and spends one account's tokens at one entry. It isn't safe for concurrent
// use. After each call of Take, HandleResponse or HandleFailure the caller sends what Draws
// returns.
type TokenCache struct {
	rate     Rate
	validity time.Duration
	held     heldGrants
	shares   [Shares]shareState
	observed observedLevels
	// queue holds the waiting requests in order of arrival.
	queue    []*waiter
	usage    usageMeter
	lastTake time.Time
	// trip is the estimated round trip to an issuer.
	trip time.Duration
	// prefetchAt is when the cache may next send a request that only prefetches.
	prefetchAt time.Time
}

// NewTokenCache returns an empty token cache.
func NewTokenCache(c TokenCacheConfig) *TokenCache {
	t := &TokenCache{validity: c.Validity}
	t.SetRate(c.Rate)
	return t
}

// SetRate changes the account's whole rate.
func (c *TokenCache) SetRate(rate Rate) {
	if rate == c.rate {
		return
	}
	c.rate = rate
	for i := range c.shares {
		c.shares[i].rate = rate.Share(i)
	}
}

// Take asks for one token for the request with the given ID. It returns false if the request
// has to wait; a later HandleResponse or HandleFailure then returns its decision.
func (c *TokenCache) Take(now time.Time, id uint64) (Decision, bool) {
	c.held.expire(now)
	c.lastTake = now
	c.usage.record(now)
	if len(c.queue) == 0 && c.held.spend(Token) {
		return Decision{ID: id, Granted: true}, true
	}
	next := &waiter{id: id, arrived: now}
	if c.rate.burst < Token {
		return c.reject(next, 0), true
	}
	for i := range c.shares {
		// An issuer that isn't to be asked yet counts as asked: it has just said that it
		// is empty or did not respond, and would do the same now.
		next.asked[i] = now.Before(c.shares[i].retryAt)
	}
	if next.askedAll() {
		return c.reject(next, len(c.queue)), true
	}
	c.queue = append(c.queue, next)
	return Decision{}, false
}

// Cancel removes a waiting request.
func (c *TokenCache) Cancel(id uint64) {
	c.queue = slices.DeleteFunc(c.queue, func(q *waiter) bool { return q.id == id })
}

// HandleResponse applies an issuer's response and returns the decisions that follow from it.
// A grant that has expired meanwhile is ignored.
func (c *TokenCache) HandleResponse(now time.Time, d Draw, r DrawResponse) []Decision {
	state := &c.shares[d.Share]
	state.inFlight = false
	c.observed.update(now, r.Levels)
	state.retryAt = now.Add(r.EmptyFor)
	c.recordTrip(now.Sub(d.Sent))
	if expires := d.Sent.Add(d.Request.Validity); r.Amount > 0 && now.Before(expires) {
		shortLived := d.Request.Validity < c.validity
		c.held.add(&heldGrant{share: d.Share, id: r.Grant, remaining: r.Amount, expires: expires, shortLived: shortLived})
	}
	c.held.expire(now)
	return c.serve(now, d, r.Amount < d.Request.Need)
}

// recordTrip updates the estimated round trip: at once with a longer one, gradually with a
// shorter one.
func (c *TokenCache) recordTrip(trip time.Duration) {
	if trip < c.trip {
		trip = c.trip + (trip-c.trip)/tripWeight
	}
	c.trip = trip
}

// HandleFailure records that a share's issuer did not respond, and returns the decisions that
// follow from it.
func (c *TokenCache) HandleFailure(now time.Time, d Draw) []Decision {
	state := &c.shares[d.Share]
	state.inFlight = false
	c.observed[d.Share] = observedLevel{at: now}
	state.retryAt = now.Add(failurePause)
	c.held.expire(now)
	return c.serve(now, d, true)
}

// serve gives tokens to waiting requests in their order, and rejects those for which every
// share's issuer has been asked. short says that the draw yielded less than it needed.
func (c *TokenCache) serve(now time.Time, d Draw, short bool) []Decision {
	var decisions []Decision
	for len(c.queue) > 0 && c.held.spend(Token) {
		decisions = append(decisions, Decision{ID: c.queue[0].id, Granted: true})
		c.queue = c.queue[1:]
	}
	var kept []*waiter
	for _, q := range c.queue {
		// A response covers only requests that arrived before the draw was sent, unless
		// it says that the issuer stays empty for some time.
		if short && (!q.arrived.After(d.Sent) || now.Before(c.shares[d.Share].retryAt)) {
			q.asked[d.Share] = true
		}
		if q.askedAll() {
			decisions = append(decisions, c.reject(q, len(kept)))
			continue
		}
		kept = append(kept, q)
	}
	c.queue = kept
	return decisions
}

// reject returns the rejection of a request that has a number of others ahead of it.
func (c *TokenCache) reject(q *waiter, ahead int) Decision {
	missing := MicroTokens(ahead+1)*Token - c.held.total()
	wait, ok := c.rate.AccrualTime(missing)
	if !ok || c.rate.burst < Token {
		return Decision{ID: q.id}
	}
	return Decision{ID: q.id, RetryAfter: max(wait, time.Millisecond)}
}

// Busy reports whether the cache has grants or waiting requests, so that Tick is needed.
func (c *TokenCache) Busy() bool { return len(c.held.grants) > 0 || len(c.queue) > 0 }
