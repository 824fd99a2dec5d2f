package peer

import (
	"context"
	"sync"
	"time"

	"pomelofork/core/bound"
	"pomelofork/core/lease"
	"pomelofork/core/limit"
	"pomelofork/core/model"
)

const (
	// tickInterval is the time between two calls of tick.
	tickInterval = 25 * time.Millisecond
	// maxAccounts is the number of accounts up to which the token cache of none is dropped.
	maxAccounts = 1000
	// accountUnused is the time without a request of an account from which it may be.
	accountUnused = time.Minute
)

// accountCaches draws tokens from their issuers and spends them for the callers of this
// instance. It has one token cache for each account.
type accountCaches struct {
	fleet *Fleet

	mu        sync.Mutex
	byAccount *bound.Map[model.AccountID, *accountCache]
	// active are the caches that may have grants or waiting requests, so that tick need not
	// visit all of them.
	active map[*accountCache]bool
}

func newAccountCaches(f *Fleet) *accountCaches {
	return &accountCaches{fleet: f, active: map[*accountCache]bool{}, byAccount: bound.NewMap(bound.Config[model.AccountID, *accountCache]{
		Limit: maxAccounts, Unused: accountUnused, InUse: (*accountCache).busy,
		New: func(account model.AccountID) *accountCache {
			cache := limit.NewTokenCache(limit.TokenCacheConfig{Validity: f.config.Timing.Lease.GrantValidity})
			return &accountCache{account: account, waiting: map[uint64]chan limit.Decision{}, cache: cache}
		},
	})}
}

// forAccount returns the token cache of an account, and adds an empty one if there is
// none.
func (a *accountCaches) forAccount(account model.AccountID) *accountCache {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byAccount.Get(a.fleet.config.Now(), account)
}

// send carries out draws. If this instance holds the share itself, the draw is handled at
// once and without a network call.
func (a *accountCaches) send(c *accountCache, draws []limit.Draw) {
	for _, draw := range draws {
		holder, ok := a.holder(c.account, draw.Share)
		if ok && holder.Is(a.fleet.self) {
			request := a.drawRequest(c.account, draw)
			a.handleDrawResponse(c, draw, a.fleet.draw(&request), nil)
			continue
		}
		a.fleet.spawn(func() {
			if !ok {
				a.handleDrawResponse(c, draw, DrawResponse{}, nil)
				return
			}
			response, err := a.draw(holder, c.account, draw)
			a.handleDrawResponse(c, draw, response, err)
		})
	}
}

// holder returns the member that holds a share. It returns false if there is none or if it
// is suspected to have failed.
func (a *accountCaches) holder(account model.AccountID, share int) (Member, bool) {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	holder, ok := f.leases.Assignment().Holder(lease.AccountShare(account, share))
	return holder, ok && !f.tracker.IsSuspected(f.config.Now(), holder)
}

func (a *accountCaches) drawRequest(account model.AccountID, draw limit.Draw) DrawRequest {
	return DrawRequest{Account: account, Share: draw.Share, Ask: draw.Request}
}

// draw sends a draw to a holder in another process. It fetches the record of rights from
// the holder if the holder knows a newer epoch.
func (a *accountCaches) draw(holder Member, account model.AccountID, draw limit.Draw) (DrawResponse, error) {
	f := a.fleet
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.CallTimeout)
	defer cancel()
	request := a.drawRequest(account, draw)
	var response DrawResponse
	if err := f.links.to(holder.PeerAddress).call(ctx, "Draw", &request, &response); err != nil {
		return DrawResponse{}, err
	}
	if response.Epoch > f.Epoch() {
		f.fetchRecord(holder.PeerAddress)
	}
	return response, nil
}

// handleDrawResponse passes the response or failure of a draw to the token cache, and
// carries out the draws that follow from it. Nothing is done for a draw that only reported
// usage.
func (a *accountCaches) handleDrawResponse(c *accountCache, draw limit.Draw, response DrawResponse, err error) {
	if draw.ReportOnly {
		return
	}
	c.mu.Lock()
	now := a.fleet.config.Now()
	if err == nil && response.Holder {
		c.answeredAt = now
		c.deliver(c.cache.HandleResponse(now, draw, response.Answer))
	} else {
		c.deliver(c.cache.HandleFailure(now, draw))
	}
	more := c.cache.Draws(now)
	c.mu.Unlock()
	a.send(c, more)
}

// tick calls Tick on all token caches that have grants or waiting requests. It removes the
// others from the active ones until they are used again.
func (a *accountCaches) tick() {
	for _, c := range a.activeCaches() {
		c.mu.Lock()
		var draws []limit.Draw
		busy := c.cache.Busy()
		if busy {
			draws = c.cache.Tick(a.fleet.config.Now())
		}
		c.mu.Unlock()
		if !busy {
			a.removeIdle(c)
		}
		a.send(c, draws)
	}
}

// activeCaches returns the caches that may have grants or waiting requests.
func (a *accountCaches) activeCaches() []*accountCache {
	a.mu.Lock()
	defer a.mu.Unlock()
	active := make([]*accountCache, 0, len(a.active))
	for c := range a.active {
		active = append(active, c)
	}
	return active
}

// markActive adds a cache to the active ones.
func (a *accountCaches) markActive(c *accountCache) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active[c] = true
}

// removeIdle removes a cache from the active ones, unless a request has arrived meanwhile.
func (a *accountCaches) removeIdle(c *accountCache) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cache.Busy() {
		delete(a.active, c)
	}
}
