package term

import (
	"time"

	"pomelofork/core/model"
)

// record is the state that the machine keeps for one server.
type record struct {
	// known is true once the server has answered.
	known bool
	// requestedAt is when the status was requested.
	requestedAt time.Time
	status      Status
	// promised is the newest promise seen. Promises only grow, so an answer that
	// arrives late must not lower it.
	promised model.Term
	// answeredAt is when the last answer arrived, or when the machine began to wait
	// for the first one.
	answeredAt time.Time
	// failed is true if the last status request failed.
	failed bool
	// refusals and statements count the refused connections and failed statements
	// since the last answer.
	refusals   int
	statements int
	// freshAsOf is the value of ServerView.FreshAsOf.
	freshAsOf time.Time
	// markedLeaving is true if the platform or an operator says that the server is
	// leaving.
	markedLeaving bool
	// fencedAt is when the server was last fenced because it was a stale primary.
	fencedAt time.Time
}

// update replaces the status by a later one.
func (r *record) update(now, requestedAt time.Time, s Status) {
	r.promised = max(r.promised, s.Promised)
	r.answeredAt, r.failed, r.refusals, r.statements = now, false, 0, 0
	if r.known && !r.supersededBy(requestedAt, s) {
		return
	}
	r.known, r.requestedAt, r.status = true, requestedAt, s
}

// supersededBy reports whether s is a later state of the server than the recorded
// one, as far as can be told. Answers can arrive out of order, so the time of the
// request alone does not decide: promises only grow, and a server becomes primary
// only after its promise.
func (r *record) supersededBy(requestedAt time.Time, s Status) bool {
	have := r.status
	if s.Promised != have.Promised {
		return s.Promised > have.Promised
	}
	return !requestedAt.Before(r.requestedAt) || s.Primary && !have.Primary
}

// leaving reports whether the server must get no new work.
func (r *record) leaving() bool { return r.status.Leaving || r.markedLeaving }

// reachable reports whether the server has answered recently and its last request did
// not fail.
func (r *record) reachable(now time.Time, timeout time.Duration) bool {
	return r.known && !r.failed && now.Sub(r.answeredAt) <= timeout
}

// heldPosition returns the position up to which the server holds the log of term, and
// false if it holds none of it or has promised another term.
func (r *record) heldPosition(term model.Term) (model.Position, bool) {
	if !r.known || r.status.Promised != term || r.status.Log.Term() != term {
		return 0, false
	}
	return r.status.Log.Pos(), true
}
