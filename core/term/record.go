package term

import (
	"time"

	"pomelofork/core/model"
)

// record is what the machine keeps of one server.
type record struct {
	// known is true once the server has answered.
	known bool
	// asked is when the question of status was sent.
	asked  time.Time
	status Status
	// promised is the newest promise seen. A promise never falls back, so a late
	// answer can't lower it.
	promised model.Term
	// heard is when the last answer came, or when counting began.
	heard time.Time
	// failed is true when the last question failed.
	failed     bool
	refusals   int
	statements int
	fresh      time.Time
	// listed says that somebody else than the server says that it is leaving.
	listed bool
	// fencedAt is when the server was last told that it leads no more.
	fencedAt time.Time
}

// take replaces the status by a later one.
func (r *record) take(now, asked time.Time, s Status) {
	r.promised = max(r.promised, s.Promised)
	r.heard, r.failed, r.refusals, r.statements = now, false, 0, 0
	if r.known && !r.precedes(asked, s) {
		return
	}
	r.known, r.asked, r.status = true, asked, s
}

// precedes says that s is a later state of the server than the one recorded, as far
// as can be told. Answers overtake each other, so the question's time alone doesn't
// decide: a promise never falls back, and a server leads only after its promise.
func (r *record) precedes(asked time.Time, s Status) bool {
	have := r.status
	if s.Promised != have.Promised {
		return s.Promised > have.Promised
	}
	return !asked.Before(r.asked) || s.Primary && !have.Primary
}

// leaving says that the server must get no new work.
func (r *record) leaving() bool { return r.status.Leaving || r.listed }

// reachable says that the server answered lately.
func (r *record) reachable(now time.Time, overdue time.Duration) bool {
	return r.known && !r.failed && now.Sub(r.heard) <= overdue
}

// holds returns the index up to which the server holds the log of term, given that
// it has promised nothing newer.
func (r *record) holds(term model.Term) (model.Position, bool) {
	if !r.known || r.status.Promised != term || r.status.Log.Term() != term {
		return 0, false
	}
	return r.status.Log.Pos(), true
}
