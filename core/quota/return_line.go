package quota

import (
	"time"

	"pomelofork/core/line"
)

const (
	// grantSpan is the time over which a ReturnLine averages the grants.
	grantSpan = time.Second
	// minGrantRate is the least rate of grants, in operations a second, that a ReturnLine counts on.
	minGrantRate = 1
	// maxReturnAfter is the longest time after which a caller is told to return. Callers forget a
	// later time or give up before.
	maxReturnAfter = 2 * time.Second
)

// ReturnLine spreads the times at which the callers of one account return to one entry after they
// were refused for want of a token. Each refusal takes a place in the line, which moves on at the
// rate at which the entry has been granted tokens, or its share of the account's rate if that is
// higher. The places reserve nothing, so that a token whose
// caller doesn't return goes to another one. The zero value is empty. It isn't safe for concurrent
// use.
//
// Load pattern: after a loss of everything, or while one account sends many times its rate, hundreds
// of callers are refused in the same moment. If all of them are told when the next token accrues,
// they return together and all but one are refused again, until their retries are used up.
type ReturnLine struct {
	// granted is the number of recent grants, over grantSpan.
	granted line.Sum
	// line counts callers.
	line line.Line
}

// Granted records a token that was granted.
func (l *ReturnLine) Granted(now time.Time) { l.granted.Add(now, grantSpan, 1) }

// ReturnAfter returns the time after which a refused caller should return, given the time until the
// next token accrues and the entry's share of the account's rate, in operations a second.
func (l *ReturnLine) ReturnAfter(now time.Time, next time.Duration, share float64) time.Duration {
	perSecond := max(l.granted.Value(now, grantSpan)/grantSpan.Seconds(), share, minGrantRate)
	after, _ := l.line.Take(now, perSecond, 1, next, maxReturnAfter)
	return after
}
