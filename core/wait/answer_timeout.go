package wait

import "time"

const (
	// answerCosts is the number of mean costs within which practically every statement of a class is
	// answered. The work of a class varies: the slowest of some thousand statements takes several times the
	// mean.
	answerCosts = 8
	// maxAnswerFactor limits what slow statements add to a time-out, since a server that has become slow
	// raises the costs as well.
	maxAnswerFactor = 2
)

// AnswerTimeout returns the time after which a missing answer to a statement of a class counts as a
// failure of the server: base, or more if statements of the class usually take long. Where callers don't
// compete for the server it is base.
//
// Load pattern: lookups whose work takes 55 ms on average, and up to 410 ms. With a fixed time-out of
// 350 ms the slowest of them are cut off at one server after the other, use a slot of each, and are never
// answered.
func (q *Queue[T]) AnswerTimeout(class string, base time.Duration) time.Duration {
	return q.answerTimeout(q.Cost(class), base)
}

// SilenceTimeout returns the time without any answer after which a server with statements in flight
// counts as failed: base, or more if any class of statements usually takes long.
func (q *Queue[T]) SilenceTimeout(base time.Duration) time.Duration {
	var slowest time.Duration
	for _, cost := range q.costs {
		slowest = max(slowest, cost)
	}
	return q.answerTimeout(slowest, base)
}

func (q *Queue[T]) answerTimeout(cost, base time.Duration) time.Duration {
	if !q.policy.Contended {
		return base
	}
	return max(base, min(answerCosts*cost, maxAnswerFactor*base))
}
