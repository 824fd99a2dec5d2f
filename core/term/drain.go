package term

import (
	"time"

	"pomelofork/core/model"
)

// drain is the state of a planned change of primary, which lets writes end first.
type drain struct {
	active bool
	since  time.Time
	// busyWriters is how many units of work with writes this instance has under way.
	busyWriters int
}

// ChangePrimary asks for a planned change of primary, on an operator's request.
func (m *Machine) ChangePrimary(now time.Time) []Action {
	m.startDrain(now)
	return m.flush()
}

// SetLeaving says whether a server is leaving according to the platform or to an
// operator. A server also counts as leaving if its own status says so.
func (m *Machine) SetLeaving(now time.Time, id model.ServerID, leaving bool) []Action {
	if r, ok := m.records[id]; ok {
		r.markedLeaving = leaving
	}
	m.drainLeavingPrimary(now)
	return m.flush()
}

// drainLeavingPrimary begins a planned change if the primary is leaving, and ends one
// that has become impossible.
func (m *Machine) drainLeavingPrimary(now time.Time) {
	if m.leader.server == "" || now.Before(m.retryAt) {
		return
	}
	if m.drain.active && m.attempt == nil && !m.hasSuccessor(now) {
		// No other server can take over any more, so the primary must get work again.
		m.drain = drain{}
	}
	if r := m.records[m.leader.server]; r.known && r.leaving() {
		m.startDrain(now)
	}
}

// startDrain begins to keep new work from the primary if enough other servers could
// take over.
func (m *Machine) startDrain(now time.Time) {
	if !m.gateway || m.drain.active || m.attempt != nil || m.leader.server == "" {
		return
	}
	if !m.hasSuccessor(now) {
		return
	}
	m.drain.active, m.drain.since = true, now
	m.emit(Report{Kind: ReportDraining, Server: m.leader.server, Term: m.leader.term})
}

// hasSuccessor reports whether a majority answers without the primary, and at least
// one of these servers is not leaving.
func (m *Machine) hasSuccessor(now time.Time) bool {
	n, stays := 0, false
	for id, r := range m.records {
		if id == m.leader.server || !r.reachable(now, m.timing.UnreachableAfter) {
			continue
		}
		n++
		stays = stays || !r.leaving()
	}
	return n >= m.majority() && stays
}

// drained reports whether the new term of a planned change may begin: the writes of
// this instance have ended and the other servers hold all of the primary's log, or
// DrainMax has passed.
func (m *Machine) drained(now time.Time) bool {
	waited := now.Sub(m.drain.since)
	if waited >= m.timing.DrainMax {
		return true
	}
	if waited < m.timing.DrainMin || m.drain.busyWriters > 0 {
		return false
	}
	log := m.records[m.leader.server].status.Log
	for id, r := range m.records {
		if id != m.leader.server && r.reachable(now, m.timing.UnreachableAfter) && r.status.Log.Less(log) {
			return false
		}
	}
	return true
}
