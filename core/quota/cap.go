package quota

import (
	"math"
	"time"
)

// restartShare is the part of the slack of a Cap that one restart may use. Two restarts within
// the window, and the tokens in caches, fit into the slack.
const restartShare = 0.4

// Cap is the limit on the operations of one account, over all instances. In any span of Window
// no more than (rate x Window + burst) x (1 + Overage) + Slack may run. The zero value has no
// slack.
type Cap struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// RestartTokens returns the tokens with which one of the account's issuers may start, if its
// former run held the same right until it ended. Nobody knows what that run has issued, so they
// are only a part of the slack.
//
// Load pattern: all instances lose power, and the callers of the time without any return at once,
// more than what accrues to empty buckets.
func (c Cap) RestartTokens(perSecond, burst float64) int {
	slack := c.Overage*(perSecond*c.Window.Seconds()+burst) + c.Slack
	_, share := IssuerShare(perSecond, burst)
	return int(math.Floor(min(restartShare*slack/float64(IssuerCount(perSecond)), share)))
}
