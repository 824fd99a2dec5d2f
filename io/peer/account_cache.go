package peer

import (
	"sync"
	"time"

	"pomelofork/core/limit"
	"pomelofork/core/model"
)

// accountCache is the token cache of one account with the requests that wait for its
// decisions.
type accountCache struct {
	account model.AccountID

	mu    sync.Mutex
	cache *limit.TokenCache
	// waiting holds the channel for the decision of each waiting request by its identifier.
	// Identifiers count up to lastID.
	waiting map[uint64]chan limit.Decision
	lastID  uint64
	// answeredAt is when the holder of one of the account's shares last answered.
	answeredAt time.Time
}

// refusal returns nil for a granted request. If no holder has answered for issuerTimeout,
// as after the first start of a fleet, the reason is that there is no issuer: the account
// may be within its rate, so it must not be told that it exceeded it.
func (c *accountCache) refusal(now time.Time, d limit.Decision) error {
	if d.Granted {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.answeredAt) > issuerTimeout {
		return model.NewRefusal(model.RefusalConfig{Reason: model.ReasonNoIssuer, RetryAfter: noIssuerRetryAfter})
	}
	return model.NewRefusal(model.RefusalConfig{Reason: model.ReasonRateExceeded, RetryAfter: d.RetryAfter})
}

const (
	// issuerTimeout is the time without an answer of a holder after which a refusal is
	// attributed to the fleet and not to the account.
	issuerTimeout = time.Second
	// noIssuerRetryAfter is the time after which a caller should repeat a request that was
	// refused for lack of an issuer.
	noIssuerRetryAfter = 100 * time.Millisecond
)

// busy reports whether the cache has tokens or requests that wait for some.
func (c *accountCache) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache.Busy()
}

// deliver sends decisions to the requests that wait for them. The caller holds mu.
func (c *accountCache) deliver(decisions []limit.Decision) {
	for _, d := range decisions {
		if waiting, ok := c.waiting[d.ID]; ok {
			waiting <- d
			delete(c.waiting, d.ID)
		}
	}
}

// cancel removes a request that no longer waits for its decision.
func (c *accountCache) cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
	c.cache.Cancel(id)
}
