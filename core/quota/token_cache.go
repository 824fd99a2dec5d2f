package quota

import "time"

// TokenLife is the time after which an unspent token in a cache expires. It is well below
// the length of the window over which an account's rate is measured.
const TokenLife = time.Second

// returnableLife is the time after which a token that was drawn for an operation at once can't be
// returned any more. Together with the prefetched tokens, those that returns move from one window
// to the next are less than a tenth of a window's.
const returnableLife = 250 * time.Millisecond

// Token pays for one operation.
type Token struct {
	expires time.Time
}

// DrawnToken returns a token that an issuer granted for the use at usableAt.
func DrawnToken(usableAt time.Time) Token { return Token{expires: usableAt.Add(returnableLife)} }

const (
	// usageSpan is the time over which a cache averages its usage.
	usageSpan = time.Second
	// prefetchFor is the time whose usage, at the recent rate, is prefetched.
	prefetchFor = 600 * time.Millisecond
)

// maxWaitOfFirst is the time for which an operation of priority 0 waits for a token. It is
// below a quarter of the usual latency targets.
const maxWaitOfFirst = 60 * time.Millisecond

// MaxWait returns the time for which an operation of a priority waits for a token. All
// operations of one account reserve tokens from the same bucket, so when it is empty, the
// operations that may wait longer get the tokens that accrue. Priority 0 is the highest and
// waits longest: the highest priorities are served in full, and the next ones share the
// rest.
func MaxWait(priority int) time.Duration {
	return maxWaitOfFirst / time.Duration(max(priority, 0)+1)
}

// TokenCache holds one account's unspent tokens at one entry. The zero value is empty. It
// isn't safe for concurrent use.
type TokenCache struct {
	tokens  int
	expires time.Time
	// returned are the tokens of operations that were not sent.
	returned []Token
	usage    float64
	usedAt   time.Time
}

// Spend takes one token and reports whether there was one. Either way it counts as usage
// from which PrefetchCount is estimated.
func (c *TokenCache) Spend(now time.Time) (Token, bool) {
	c.recordUse(now)
	for len(c.returned) > 0 {
		last := len(c.returned) - 1
		token := c.returned[last]
		c.returned = c.returned[:last]
		if now.Before(token.expires) {
			return token, true
		}
	}
	if c.tokens == 0 || !now.Before(c.expires) {
		c.tokens = 0
		return Token{}, false
	}
	c.tokens--
	return Token{expires: c.expires}, true
}

// recordUse adds one use to a count that decays over usageSpan.
func (c *TokenCache) recordUse(now time.Time) {
	if since := now.Sub(c.usedAt); since >= usageSpan {
		c.usage = 0
	} else {
		c.usage *= 1 - since.Seconds()/usageSpan.Seconds()
	}
	c.usage++
	c.usedAt = now
}

// PrefetchCount returns how many tokens to draw beyond those needed now.
func (c *TokenCache) PrefetchCount() int {
	return int(c.usage * prefetchFor.Seconds() / usageSpan.Seconds())
}

// Return stores the token of an operation of which certainly no statement was sent to a server. The
// account's rate counts what arrives at servers, so the next operation may spend it.
//
// Load pattern: a service lacks its primary for a second, or its queues are full. Each attempt
// takes a token before it is rejected, so without returns the account has none left for its work
// on other services, and none when the new primary is there.
//
// The token keeps the time at which it expires. Otherwise tokens could be collected by operations
// that are rejected one after the other, and all be spent in one window.
func (c *TokenCache) Return(now time.Time, token Token) {
	if now.Before(token.expires) {
		c.returned = append(c.returned, token)
	}
}

// Add stores tokens whose lifetime counts from drawnAt, the time at which they were
// requested. All tokens in the cache then expire together, with the newest.
func (c *TokenCache) Add(drawnAt time.Time, tokens int) {
	if tokens <= 0 {
		return
	}
	c.tokens += tokens
	c.expires = drawnAt.Add(TokenLife)
}
