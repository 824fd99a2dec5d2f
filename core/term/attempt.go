package term

import (
	"time"

	"pomelofork/core/model"
)

// attempt is one try to begin a new term.
type attempt struct {
	number uint64
	term   model.Term
	cause  Cause
	// promised holds the servers that have promised the term, with their status just
	// after the promise. What such a server holds of older terms cannot change any
	// more.
	promised map[model.ServerID]Status
	// chosen is the server that was asked to become primary, or empty. No other
	// server may lead this term: if the answer is not received, another term is used.
	chosen    model.ServerID
	startedAt time.Time
	fencedAt  time.Time
	phases    FailoverPhases
}

// beginAttempt starts an attempt with a term of its own. In a planned change the
// primary is not fenced directly, as the new primary is chosen among the others.
func (m *Machine) beginAttempt(now time.Time, c Cause) {
	if !m.series.Reserved() {
		m.reportOnce(Report{Kind: ReportNoTerm, Server: m.leader.server, Cause: c})
		return
	}
	next := m.series.After(max(m.newest(), m.newestBegun))
	if m.disabled.reuseTerm && m.newestBegun > 0 && m.newestBegun >= m.newest() {
		next = m.newestBegun
	}
	m.attempts++
	m.newestBegun = next
	a := &attempt{
		number: m.attempts, term: next, cause: c, startedAt: now,
		promised: make(map[model.ServerID]Status, len(m.order)),
	}
	a.phases.Decide = now.Sub(m.causeSince)
	if c != CausePlanned && !m.leaderAnsweredAt.IsZero() {
		a.phases.Detect = max(m.causeSince.Sub(m.leaderAnsweredAt), 0)
	}
	m.attempt = a
	m.emit(Report{Kind: ReportAttemptBegan, Server: m.leader.server, Term: a.term, Cause: c})
	for _, id := range m.order {
		if c == CausePlanned && id == m.leader.server {
			continue
		}
		m.emit(Fence{Attempt: a.number, Server: id, Term: a.term})
	}
}

// Fenced takes the result of a Fence that was sent at requestedAt. The status s is
// the server's state after its promise. err is non-nil if there was no answer or the
// server refused; newer says that it refused because it has promised a newer term.
func (m *Machine) Fenced(now time.Time, f Fence, requestedAt time.Time, s Status, err error, newer bool) []Action {
	if err == nil {
		m.observe(now, f.Server, requestedAt, s)
	}
	if m.isCurrent(f.Attempt) && m.attempt.chosen == "" {
		m.fenced(now, f.Server, s, err, newer)
	}
	m.supervise(now)
	return m.flush()
}

// isCurrent reports whether a result belongs to the attempt under way.
func (m *Machine) isCurrent(number uint64) bool {
	return m.attempt != nil && (m.attempt.number == number || m.disabled.acceptLate)
}

// fenced counts a promise and chooses the new primary once a majority has promised.
func (m *Machine) fenced(now time.Time, id model.ServerID, s Status, err error, newer bool) {
	a := m.attempt
	if newer || (err == nil && s.Promised > a.term) {
		m.abandon(now)
		return
	}
	if err != nil || (s.Promised != a.term && !m.disabled.acceptLate) {
		return
	}
	a.promised[id] = s
	need := m.majority()
	if m.disabled.promoteEarly {
		need = 1
	}
	if len(a.promised) < need {
		return
	}
	a.fencedAt = now
	a.phases.Fence = now.Sub(a.startedAt)
	a.chosen = m.choosePrimary(id)
	m.emit(Promote{Attempt: a.number, Server: a.chosen, Term: a.term})
}

// choosePrimary returns the server with the highest log point among those that have
// promised the term; last is the one that promised last. Each acknowledged write is
// on a majority of the servers, hence on at least one of these, and the one with the
// highest point has all acknowledged writes that any of them has. Among equals, a
// server that is not leaving is preferred.
func (m *Machine) choosePrimary(last model.ServerID) model.ServerID {
	if m.disabled.promoteFirst {
		return last
	}
	var best model.ServerID
	for _, id := range m.order {
		s, ok := m.attempt.promised[id]
		if !ok {
			continue
		}
		have := m.attempt.promised[best]
		if best == "" || have.Log.Less(s.Log) || have.Log == s.Log && m.records[best].leaving() && !m.records[id].leaving() {
			best = id
		}
	}
	return best
}

// Promoted takes the result of a Promote, as Fenced does for a Fence.
func (m *Machine) Promoted(now time.Time, p Promote, requestedAt time.Time, s Status, err error, newer bool) []Action {
	if err == nil {
		m.observe(now, p.Server, requestedAt, s)
	}
	if m.isCurrent(p.Attempt) && p.Server == m.attempt.chosen {
		m.promoted(now, s, err)
	}
	m.supervise(now)
	return m.flush()
}

// promoted ends the attempt with success or failure.
func (m *Machine) promoted(now time.Time, s Status, err error) {
	if err != nil || s.Promised != m.attempt.term || !s.Primary {
		m.abandon(now)
		return
	}
	m.succeed(now)
}

// succeed ends the attempt with the chosen server as primary.
func (m *Machine) succeed(now time.Time) {
	a := m.attempt
	a.phases.Promote = now.Sub(a.fencedAt)
	m.attempt = nil
	m.activeCause, m.drain = CauseNone, drain{}
	m.emit(Report{Kind: ReportPromoted, Server: a.chosen, Term: a.term, Cause: a.cause, Phases: a.phases})
}

// checkAttempt ends an attempt that has taken too long, or that is no longer needed
// because another gateway was faster or the chosen server is known to be primary.
func (m *Machine) checkAttempt(now time.Time) {
	a := m.attempt
	if a.chosen != "" && m.leader == (leader{a.chosen, a.term}) {
		m.succeed(now)
		return
	}
	if m.leader.term >= a.term || now.Sub(a.startedAt) >= m.timing.AttemptTimeout {
		m.abandon(now)
	}
}

// abandon gives up the attempt. The next one uses another term. Gateways of higher
// rank wait longer before they retry, so that one of them wins.
func (m *Machine) abandon(now time.Time) {
	a := m.attempt
	m.attempt = nil
	m.drain = drain{}
	m.retryAt = now.Add(m.timing.RetryDelay * time.Duration(1+m.rank))
	m.emit(Report{Kind: ReportAttemptAbandoned, Server: a.chosen, Term: a.term, Cause: a.cause})
}
