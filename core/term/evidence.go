package term

import (
	"time"

	"pomelofork/core/model"
)

// ObserveFault takes evidence of a failure of a server.
func (m *Machine) ObserveFault(now time.Time, id model.ServerID, f Fault) []Action {
	r, ok := m.records[id]
	if !ok {
		return nil
	}
	poll := !r.failed
	switch f {
	case FaultRefused:
		r.failed = true
		r.refusals++
		poll = r.refusals == 1
	case FaultConnectionClosed, FaultTimeout:
		r.failed = true
	case FaultLogin:
		r.failed, r.answeredAt, r.refusals = true, now, 0
	case FaultStatement:
		r.statements++
		poll = true
	}
	if id == m.leader.server && !m.suspectReported {
		m.suspectReported = true
		m.emit(Report{Kind: ReportSuspected, Server: id, Term: m.leader.term})
		m.pollAll()
	}
	if poll {
		m.emit(Poll{Server: id})
	}
	m.supervise(now)
	return m.flush()
}

// suspicion returns the evidence of a failure of the primary.
func (m *Machine) suspicion(now time.Time) Suspicion {
	p := m.records[m.leader.server]
	s := Suspicion{SinceAnswer: now.Sub(p.answeredAt), Refusals: p.refusals, Statements: p.statements}
	for _, id := range m.order {
		r := m.records[id]
		if id == m.leader.server || !r.reachable(now, m.timing.UnreachableAfter) {
			continue
		}
		if s.AnsweringReplicas == 0 || r.status.SincePrimaryContact < s.SincePrimaryContact {
			s.SincePrimaryContact = r.status.SincePrimaryContact
		}
		s.AnsweringReplicas++
	}
	return s
}

// currentCause returns why a new term is needed at present, or CauseNone.
func (m *Machine) currentCause(now time.Time) Cause {
	if m.leader.server == "" {
		return CauseNoPrimary
	}
	if c := m.detector.Failed(m.suspicion(now)); c != CauseNone {
		return c
	}
	for _, r := range m.records {
		if r.promised > m.leader.term && r.reachable(now, m.timing.UnreachableAfter) {
			return CauseNewerPromise
		}
	}
	if m.drain.active && m.drained(now) {
		return CausePlanned
	}
	return CauseNone
}

// actionDelay returns how long a cause must hold before this instance acts on it.
func (m *Machine) actionDelay() time.Duration {
	if m.contested() {
		return m.timing.ContestedDelay + m.rankDelay()
	}
	return m.rankDelay()
}

// contested reports whether another gateway has begun a newer term and may still be
// completing it.
func (m *Machine) contested() bool { return m.newest() > max(m.leader.term, m.newestBegun) }

// countAnswering returns the number of servers that could promise a new term. The
// primary counts only for CauseNewerPromise, as for every other cause it has failed
// or is to be replaced.
func (m *Machine) countAnswering(now time.Time, c Cause) int {
	n := 0
	for id, r := range m.records {
		suspect := id == m.leader.server && c != CauseNewerPromise
		if !suspect && r.reachable(now, m.timing.UnreachableAfter) {
			n++
		}
	}
	return n
}
