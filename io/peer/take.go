package peer

import (
	"context"

	"pomelofork/core/limit"
	"pomelofork/core/model"
)

// Take spends one token of the account. It waits until the request is decided, and returns
// nil or a *model.Refusal. It returns a refusal when ctx ends or the fleet is closed
// meanwhile.
func (f *Fleet) Take(ctx context.Context, account model.AccountID) error {
	rate, ok := f.config.Limits(account)
	if !ok {
		return model.NewRefusal(model.RefusalConfig{Reason: model.ReasonUnknownAccount})
	}
	c := f.caches.forAccount(account)
	id, waiting, decision := f.caches.take(c, rate)
	if waiting == nil {
		return c.refusal(f.config.Now(), decision)
	}
	select {
	case decision = <-waiting:
		return c.refusal(f.config.Now(), decision)
	case <-ctx.Done():
		c.cancel(id)
		return model.NewRefusal(model.RefusalConfig{Reason: model.ReasonDeadline, RetryAfter: tickInterval})
	case <-f.ctx.Done():
		c.cancel(id)
		return model.NewRefusal(model.RefusalConfig{Reason: model.ReasonShuttingDown, RetryAfter: tickInterval})
	}
}

// take asks the token cache for a token. If the request has to wait, the returned channel
// will receive the decision; otherwise the channel is nil and the decision is returned.
func (a *accountCaches) take(c *accountCache, rate limit.Rate) (uint64, chan limit.Decision, limit.Decision) {
	c.mu.Lock()
	now := a.fleet.config.Now()
	c.lastID++
	id := c.lastID
	c.cache.SetRate(rate)
	var waiting chan limit.Decision
	decision, done := c.cache.Take(now, id)
	if !done {
		waiting = make(chan limit.Decision, 1)
		c.waiting[id] = waiting
	}
	draws := c.cache.Draws(now)
	c.mu.Unlock()
	a.markActive(c)
	a.send(c, draws)
	return id, waiting, decision
}
