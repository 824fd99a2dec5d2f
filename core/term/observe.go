package term

import (
	"slices"
	"time"

	"pomelofork/core/assert"
	"pomelofork/core/model"
)

// Observe takes a server's status, which was requested at requestedAt: the server was
// in that state at some moment after it.
func (m *Machine) Observe(now time.Time, id model.ServerID, requestedAt time.Time, s Status) []Action {
	m.observe(now, id, requestedAt, s)
	m.supervise(now)
	return m.flush()
}

// observe updates what is known, without supervise and flush.
func (m *Machine) observe(now time.Time, id model.ServerID, requestedAt time.Time, s Status) {
	r, ok := m.records[id]
	if !ok {
		return
	}
	r.update(now, requestedAt, s)
	m.updateLeader(now)
	if id == m.leader.server {
		m.leaderAnsweredAt, m.suspectReported, m.polledAll = now, false, false
	}
	if s.Primary && m.leader == (leader{id, s.Promised}) {
		m.logHistory.add(requestedAt, s.Log)
	}
	m.updateConfirmed()
	m.updateCommitted()
	m.updateFreshness()
	if r.status.Primary && r.status.Promised < m.leader.term {
		m.fenceStalePrimary(now, id, r)
	}
}

// updateLeader sets leader to the newest primary, and clears its server if it was
// replaced.
func (m *Machine) updateLeader(now time.Time) {
	for _, id := range m.order {
		r := m.records[id]
		if r.known && r.status.Primary && r.status.Promised > m.leader.term {
			m.setLeader(now, leader{id, r.status.Promised})
		}
		m.check.Hold(!r.known || !r.status.Primary || r.status.Promised != m.leader.term || m.leader.server == id || m.leader.server == "",
			assert.InvariantNoAckByReplacedPrimary, "both %s and %s are primary of term %d", id, m.leader.server, m.leader.term)
	}
	if m.leader.server == "" {
		return
	}
	r := m.records[m.leader.server]
	if r.promised > m.leader.term || r.known && r.status.Promised == m.leader.term && !r.status.Primary {
		m.leader.server = ""
		return
	}
	if m.replaced(m.leader.term) {
		m.leader.server = ""
	}
}

// setLeader begins a newer term. Log points and times known from the older term stay
// valid, but nothing more can be learnt from its primary.
func (m *Machine) setLeader(now time.Time, l leader) {
	log := m.records[l.server].status.Log
	m.check.Hold(m.committed.IsZero() || log.Covers(m.committed), assert.InvariantNoAckByReplacedPrimary,
		"the log of primary %s of term %d ends at %s and lacks the committed point %s", l.server, l.term, log, m.committed)
	m.logHistory.clampTimes(m.confirmed)
	m.leader = l
	m.committed = model.Point{}
	m.suspectReported, m.polledAll, m.activeCause, m.drain = false, false, CauseNone, drain{}
	m.records[l.server].answeredAt = now
	m.emit(Report{Kind: ReportNewPrimary, Server: l.server, Term: l.term})
}

// replaced reports whether a majority has promised a term newer than t, so that
// nothing more can be committed in t.
func (m *Machine) replaced(t model.Term) bool {
	if m.leader.term > t {
		return true
	}
	n := 0
	for _, r := range m.records {
		if r.promised > t {
			n++
		}
	}
	return n >= m.majority()
}

// updateConfirmed finds the latest time as of which a majority had promised nothing
// newer than the leader's term. The status of each server of this majority was
// requested after that time.
func (m *Machine) updateConfirmed() {
	if m.leader.term == 0 {
		return
	}
	var requestTimes []time.Time
	for _, r := range m.records {
		if r.known && (r.status.Promised <= m.leader.term || m.disabled.confirmAnyTerm) {
			requestTimes = append(requestTimes, r.requestedAt)
		}
	}
	if len(requestTimes) < m.majority() {
		return
	}
	slices.SortFunc(requestTimes, func(a, b time.Time) int { return b.Compare(a) })
	if t := requestTimes[m.majority()-1]; t.After(m.confirmed) {
		m.confirmed = t
	}
}

// updateCommitted finds the last log point that no failover can lose. A server counts
// with what it holds of the leader's own term, and only if it had promised nothing
// newer at that moment. Any later primary has had a majority fenced, hence at least
// one of these servers after that moment, and takes over at least its log.
func (m *Machine) updateCommitted() {
	t := m.leader.term
	var held []model.Position
	for _, id := range m.order {
		r := m.records[id]
		at, ok := r.heldPosition(t)
		if m.disabled.ackAnyTerm {
			at, ok = r.status.Log.Pos(), true
		}
		if ok {
			held = append(held, at)
		}
	}
	need := m.majority()
	if m.disabled.ackAtPrimary {
		need = 1
	}
	if len(held) < need {
		return
	}
	slices.Sort(held)
	if p := model.NewPoint(t, held[len(held)-need]); m.committed.Less(p) {
		m.committed = p
	}
}

// updateFreshness finds as of which time the reads of each server are current. What
// the primary's log held when its status was requested includes all that was
// committed before, unless a newer term had begun by then. The confirmed time rules
// that out.
func (m *Machine) updateFreshness() {
	for _, r := range m.records {
		if !r.known {
			continue
		}
		at, ok := m.logHistory.coveredAsOf(r.status.Applied)
		if !ok {
			continue
		}
		if at.After(m.confirmed) {
			at = m.confirmed
		}
		if at.After(r.freshAsOf) {
			r.freshAsOf = at
		}
	}
}

// CommitState returns what is known of the commit at log point p.
func (m *Machine) CommitState(p model.Point) CommitState {
	switch {
	case m.replaced(p.Term()) && !m.disabled.ackReplaced:
		return CommitPrimaryReplaced
	case p.Term() == m.committed.Term() && p.Pos() <= m.committed.Pos(),
		m.disabled.ackReplaced && p.Term() < m.committed.Term() && p.Pos() <= m.committed.Pos():
		return CommitDurable
	}
	return CommitPending
}
