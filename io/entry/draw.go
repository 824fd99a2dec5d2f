package entry

import (
	"time"

	"pomelofork/core/model"
	"pomelofork/core/quota"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
)

// drawToken takes one token of an account for an operation, from the token cache or else
// from an issuer. It waits for a token until the given time at most. When it returns
// false, refusal is the text for the caller and says when to retry.
func (e *Entry) drawToken(now time.Time, account model.AccountID, until time.Time) (token quota.Token, refusal string, ok bool) {
	e.mu.Lock()
	cache, found := e.tokenCaches[account]
	if !found {
		cache = &quota.TokenCache{}
		e.tokenCaches[account] = cache
	}
	if token, ok := cache.Spend(now); ok {
		e.mu.Unlock()
		return token, "", true
	}
	prefetch := cache.PrefetchCount()
	if e.config.Disabled.Has(trial.PrefetchedTokens) {
		prefetch = 0
	}
	e.mu.Unlock()
	for {
		sent := clock.Now()
		grant, held := e.config.Fleet.Draw(sent, account, prefetch, until.Sub(sent))
		switch {
		case grant.Tokens > 0:
			e.mu.Lock()
			cache.Add(sent, grant.Tokens-1)
			e.mu.Unlock()
			time.Sleep(grant.Delay)
			return quota.DrawnToken(sent.Add(grant.Delay)), "", true
		case held:
			return quota.Token{}, withRetryAfter("rate of the account exceeded", grant.RetryAfter), false
		case clock.Now().Add(holderRetryPause).After(until):
			return quota.Token{}, withRetryAfter("no instance gives out tokens of the account at the moment", noHolderRetryAfter), false
		}
		time.Sleep(holderRetryPause)
	}
}

// returnToken returns the token of an operation that was certainly not sent to a server.
func (e *Entry) returnToken(now time.Time, account model.AccountID, token quota.Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cache, ok := e.tokenCaches[account]; ok && !e.config.Disabled.Has(trial.ReturnedTokens) {
		cache.Return(now, token)
	}
}

const (
	// holderRetryPause is the pause before tokens are requested again when no issuer of
	// the account could be asked.
	holderRetryPause = 10 * time.Millisecond
	// noHolderRetryAfter is the time after which a caller is told to retry when no
	// instance issues tokens of its account: about the time until another instance takes
	// over.
	noHolderRetryAfter = 500 * time.Millisecond
)
