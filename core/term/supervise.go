package term

import (
	"time"

	"pomelofork/core/model"
)

// Tick lets the machine act on the passing of time. It must be called several times
// within the shortest duration of the machine's Timing. busy is how many units of
// work with writes this instance has under way.
func (m *Machine) Tick(now time.Time, busy int) []Action {
	if now.Sub(m.lastTick) > m.timing.PauseThreshold {
		m.ignorePause(now)
	}
	m.lastTick = now
	m.drain.busyWriters = busy
	m.reserveAhead(now)
	m.drainLeavingPrimary(now)
	m.pollIfSuspect(now)
	m.supervise(now)
	return m.flush()
}

// pollIfSuspect polls all servers if the primary has not answered for FastPollAfter.
func (m *Machine) pollIfSuspect(now time.Time) {
	if m.leader.server != "" && m.NeedsFastPolling(now) {
		m.pollAll()
	}
}

// pollAll polls all servers at once, but only once until the leader answers again.
func (m *Machine) pollAll() {
	if m.polledAll {
		return
	}
	m.polledAll = true
	for _, id := range m.order {
		m.emit(Poll{Server: id})
	}
}

// NeedsFastPolling reports whether statuses should be requested at short intervals:
// the primary is suspected or overdue, there is none, or an attempt is under way.
// After FastPollLimit without an answer of a leader it returns false again.
func (m *Machine) NeedsFastPolling(now time.Time) bool {
	if now.Sub(m.leaderAnsweredAt) > m.timing.FastPollLimit {
		return false
	}
	return m.suspectReported || m.leader.server == "" || m.attempt != nil || now.Sub(m.records[m.leader.server].answeredAt) >= m.timing.FastPollAfter
}

// ignorePause counts all servers as having answered now, as this process itself was
// paused and may have answers waiting that it has not read.
func (m *Machine) ignorePause(now time.Time) {
	for _, r := range m.records {
		r.answeredAt = now
	}
	m.activeCause = CauseNone
}

// supervise begins, continues or ends an attempt.
func (m *Machine) supervise(now time.Time) {
	if !m.gateway {
		m.activeCause = CauseNone
		return
	}
	if m.attempt != nil {
		m.checkAttempt(now)
		return
	}
	c := m.currentCause(now)
	if c == CauseNone {
		m.activeCause, m.reportedProblem = CauseNone, 0
		return
	}
	if m.activeCause == CauseNone || (m.activeCause != CauseNoPrimary && c == CauseNoPrimary && m.contested()) {
		m.causeSince = now
	}
	m.activeCause = c
	if now.Before(m.retryAt) || now.Sub(m.causeSince) < m.actionDelay() {
		return
	}
	if m.countAnswering(now, c) < m.majority() {
		m.reportOnce(Report{Kind: ReportNoMajority, Server: m.leader.server, Term: m.leader.term, Cause: c})
		return
	}
	m.beginAttempt(now, c)
}

// reportOnce sends a report about a lack of servers or terms once, until the lack has
// ended.
func (m *Machine) reportOnce(r Report) {
	if m.reportedProblem != r.Kind {
		m.reportedProblem = r.Kind
		m.emit(r)
	}
}

// fenceStalePrimary fences a server that was replaced as primary and may not know it.
// Its writes cannot be acknowledged, but its callers should learn that soon.
func (m *Machine) fenceStalePrimary(now time.Time, id model.ServerID, r *record) {
	if !m.gateway || now.Sub(r.fencedAt) < m.timing.AttemptTimeout {
		return
	}
	r.fencedAt = now
	m.emit(Report{Kind: ReportStalePrimary, Server: id, Term: r.status.Promised})
	m.emit(Fence{Server: id, Term: m.leader.term})
}

// reserveAhead asks for a series of terms long before it is needed.
func (m *Machine) reserveAhead(now time.Time) {
	if !m.gateway || m.series.Reserved() || now.Before(m.nextReserve) {
		return
	}
	m.nextReserve = now.Add(m.timing.ReserveRetry)
	m.emit(ReserveTerms{})
}

// Reserved takes a series of terms that belongs to this machine alone.
func (m *Machine) Reserved(now time.Time, s Series) []Action {
	if !m.series.Reserved() && s.Reserved() {
		m.series = s
		m.emit(Report{Kind: ReportTermsReserved, Term: s.First})
	}
	m.supervise(now)
	return m.flush()
}
