package drain

import "time"

const (
	// idleDivisor is the divisor of the grace that gives the time after which idle sessions end. Until
	// then the load balancer may still send new callers: it checks readiness once a second and takes
	// an instance out after two failed checks.
	idleDivisor = 3
	// transactionDivisor is the divisor of the grace that gives the time for which open
	// transactions get further statements. They have the first half of the grace.
	transactionDivisor = 2
	// leaveNumerator and leaveDenominator give the part of the grace by which the instance begins to leave the
	// fleet at the latest, so that there is time for a slow store.
	leaveNumerator, leaveDenominator = 2, 3
	// endMargin is the time before the end of the grace at which the instance ends in any case.
	endMargin = 300 * time.Millisecond
	// answerMargin is the time before that at which all statements have been answered. In it, results
	// of other instances and answers to callers are still delivered.
	answerMargin = 200 * time.Millisecond
)

// Work is the kind of something that a caller or another instance asks for.
type Work uint8

const (
	// WorkSession is a new session.
	WorkSession Work = iota
	// WorkSingle is a statement outside of a transaction.
	WorkSingle
	// WorkBegin is the begin of a transaction.
	WorkBegin
	// WorkContinue is a statement of an open transaction that doesn't end it.
	WorkContinue
	// WorkCommit is the commit of an open transaction.
	WorkCommit
)

// Stop is the schedule of the planned stop of one instance. It decides what the instance still takes
// on, and until when. The zero value is that of an instance that isn't stopping and takes on everything.
//
// Nobody who was let in goes without a true answer, because of three things:
//   - Whatever Allows admits has a deadline of Deadline at the latest (Limit). What runs it
//     answers by then, or the instance answers by then that the outcome isn't known. Work that was
//     admitted before the stop gets the same deadline when the stop begins.
//   - Allows has to be asked when the work arrives, with the time of its arrival. What it rejects
//     hasn't been passed on to anybody, so that the rejection may promise that nothing ran.
//   - Between Deadline and End nothing is admitted (Over), so that the only thing left is to deliver the
//     answers that there are and to tell the sessions that the instance ends.
//
// Allows never admits again what it has once rejected: the time that is left only shrinks.
type Stop struct {
	idleAt, transactionsUntil, leaveBy, deadline, end time.Time
	// over is set by Finished.
	over bool
}

// StopConfig describes a planned stop.
type StopConfig struct {
	// Began is when the stop was requested.
	Began time.Time
	// Grace is the time after which the process is ended from outside. It isn't negative.
	Grace time.Duration
}

// NewStop returns the schedule of a stop.
func NewStop(c StopConfig) Stop {
	idle := c.Grace / idleDivisor
	end := max(c.Grace-endMargin, idle)
	return Stop{
		idleAt: c.Began.Add(idle), transactionsUntil: c.Began.Add(c.Grace / transactionDivisor),
		leaveBy:  c.Began.Add(c.Grace * leaveNumerator / leaveDenominator),
		deadline: c.Began.Add(max(end-answerMargin, idle)), end: c.Began.Add(end),
	}
}

// Active reports whether the instance is stopping.
func (s Stop) Active() bool { return !s.end.IsZero() }

// Idle reports whether idle sessions are to end.
func (s Stop) Idle(now time.Time) bool { return s.Active() && !now.Before(s.idleAt) }

// Leaves reports whether the instance gives up its registration, which its work for primaries rests on. It
// does at once if no such work is left. Transactions have the time that their callers have for them, and
// their last statements a part of the rest.
func (s Stop) Leaves(now time.Time, transactions, statements int) bool {
	return (transactions == 0 && statements == 0) || !now.Before(s.leaveBy)
}

// PassesOn reports whether other instances get the work for primaries from now on: no transaction is left that
// began here, or it gets no further statements.
func (s Stop) PassesOn(now time.Time, transactions int) bool {
	return transactions == 0 || !now.Before(s.transactionsUntil)
}

// Over reports whether nothing is admitted any more, and every session is to end.
func (s Stop) Over(now time.Time) bool { return s.over || (s.Active() && !now.Before(s.deadline)) }

// GivesUp reports whether what hasn't been answered gets no further time, so that its outcome is unknown.
func (s Stop) GivesUp(now time.Time) bool {
	return s.Active() && !now.Before(s.end.Add(-answerMargin/2))
}

// Ended reports whether the instance is to end, also if there is work left.
func (s Stop) Ended(now time.Time) bool { return s.Active() && !now.Before(s.end) }

// Deadline returns the time by which all statements have to be answered.
func (s Stop) Deadline() time.Time { return s.deadline }

// End returns the time at which the instance ends in any case.
func (s Stop) End() time.Time { return s.end }

// Finished returns the schedule of the same stop once the instance has nothing left to do.
func (s Stop) Finished() Stop {
	s.over = true
	return s
}

// Limit returns the deadline of work that would otherwise have the given one.
func (s Stop) Limit(deadline time.Time) time.Time {
	if s.Active() && s.deadline.Before(deadline) {
		return s.deadline
	}
	return deadline
}

// Until returns the time up to which work is admitted that is usually answered within the given
// time. For WorkBegin that is the time of a whole transaction up to its commit. It returns false if the
// instance isn't stopping.
func (s Stop) Until(work Work, usual time.Duration) (time.Time, bool) {
	switch until := s.deadline.Add(-usual); work {
	case WorkBegin:
		return earliest(until, s.transactionsUntil.Add(-usual)), s.Active()
	case WorkContinue:
		return earliest(until, s.transactionsUntil), s.Active()
	default:
		return until, s.Active()
	}
}

// Allows reports whether work is admitted that is usually answered within the given time.
func (s Stop) Allows(now time.Time, work Work, usual time.Duration) bool {
	until, stopping := s.Until(work, usual)
	return !stopping || (!s.Over(now) && now.Before(until))
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
