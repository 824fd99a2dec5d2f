package pooler

import (
	"time"

	"pomelofork/core/stmt"
	"pomelofork/core/wait"
)

// hopelessText is added to a refusal whose caller isn't expected to be served by a retry in time.
const hopelessText = "; a retry is not expected to be served in time"

// refusedByQueue returns the result of a statement that the queue refused.
func (p *Pool) refusedByQueue(now time.Time, text string, refusal wait.Refusal) stmt.Result {
	if refusal.Hopeless {
		text += hopelessText
	}
	result := refused(stmt.CodeBusy, text, refusal.RetryAfter)
	result.Wait, result.Waits = refusal.Wait, p.queue.Waits(now, p.running)
	return result
}
