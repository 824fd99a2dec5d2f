package entry

import (
	"time"

	"pomelofork/core/model"
	"pomelofork/core/quota"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
)

// accountTokens is what the entry has and knows of one account's tokens.
type accountTokens struct {
	cache quota.TokenCache
	line  quota.ReturnLine
}

// drawToken takes one token of an account for an operation, from the token cache or else
// from an issuer. It waits for a token until the given time at most. When it returns
// false, refusal is the text for the caller and says when to retry.
func (e *Entry) drawToken(now time.Time, account model.AccountID, until time.Time) (token quota.Token, refusal string, ok bool) {
	e.mu.Lock()
	tokens := e.accountTokens.Get(now, account)
	cache := &tokens.cache
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
			tokens.line.Granted(sent)
			e.mu.Unlock()
			time.Sleep(grant.Delay)
			return quota.DrawnToken(sent.Add(grant.Delay)), "", true
		case held:
			return quota.Token{}, withRetryAfter("rate of the account exceeded", e.returnAfter(sent, account, tokens, grant.RetryAfter)), false
		case clock.Now().Add(holderRetryPause).After(until):
			return quota.Token{}, withRetryAfter("no instance gives out tokens of the account at the moment", noHolderRetryAfter), false
		}
		time.Sleep(holderRetryPause)
	}
}

// returnAfter returns the time after which a caller of the account should return, given the time until
// the next token accrues.
func (e *Entry) returnAfter(now time.Time, account model.AccountID, tokens *accountTokens, next time.Duration) time.Duration {
	state := e.config.View.State()
	share := 0.0
	if limits, ok := state.Plan.Account(account); ok {
		share = limits.PerSecond / float64(max(len(state.Instances), 1))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return tokens.line.ReturnAfter(now, next, share)
}

// returnToken returns the token of an operation that was certainly not sent to a server.
func (e *Entry) returnToken(now time.Time, account model.AccountID, token quota.Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if tokens, ok := e.accountTokens.Find(account); ok && !e.config.Disabled.Has(trial.ReturnedTokens) {
		tokens.cache.Return(now, token)
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
