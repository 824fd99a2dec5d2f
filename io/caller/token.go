package caller

import (
	"context"
	"time"

	"pomelofork/core/model"
)

// maxTokenWait bounds how long a unit of work waits for the next token of an account that
// has used up its rate.
const maxTokenWait = 25 * time.Millisecond

// takeToken takes one token of the account's rate. If the next token is due soon, it tries
// again, because a retry by the caller would take longer. Each wait is at least twice the
// one before, and the sum is at most maxTokenWait, so an account far above its rate still
// gets its refusal quickly. While no instance issues the account's tokens, it waits for up
// to maxGatewayWait, as for a gateway.
func (s *session) takeToken(ctx context.Context) error {
	left, wait := maxGatewayWait, time.Duration(0)
	for {
		err := s.server.config.Directory.Take(ctx, s.account)
		if err == nil {
			return nil
		}
		refusal := asRefusal(err)
		switch refusal.Reason() {
		case model.ReasonNoIssuer:
			wait = refusal.RetryAfter()
		case model.ReasonRateExceeded:
			left, wait = min(left, maxTokenWait), max(2*wait, refusal.RetryAfter())
		default:
			return refusal
		}
		if wait <= 0 || wait > left {
			return refusal
		}
		left -= wait
		select {
		case <-ctx.Done():
			return refusal
		case <-time.After(wait):
		}
	}
}
