package entry

import "pomelofork/core/stmt"

// noteQueueRefusal keeps the refusal with the earliest time to return among those of servers that
// callers compete for. Such a server has given the caller a place in its line, and each further
// attempt would take another one, so the servers that have been tried are not tried again.
func (a *attempts) noteQueueRefusal(result stmt.Result) {
	if result.Answer.Code != stmt.CodeBusy || !result.NotSent || result.RetryAfter <= 0 || len(result.Waits) == 0 {
		return
	}
	if a.queueRefusal == nil || result.RetryAfter < a.queueRefusal.RetryAfter {
		a.queueRefusal = &result
	}
}
