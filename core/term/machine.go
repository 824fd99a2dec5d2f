package term

import (
	"time"

	"pomelofork/core/assert"
	"pomelofork/core/model"
)

// Machine decides everything about the terms of one service for one instance: what is
// known, whether a commit is safe, when the primary has failed and what to do then.
// It is not safe for concurrent use.
type Machine struct {
	order    []model.ServerID
	detector Detector
	timing   Timing
	check    *assert.Checker
	records  map[model.ServerID]*record
	// leader is the newest known primary. Its server is empty once that server is
	// known not to be the primary any more.
	leader leader
	// confirmed and committed belong to the leader's term; see SnapshotConfig.
	confirmed  time.Time
	committed  model.Point
	logHistory logHistory

	// gateway says that this instance is a gateway of the service, and rank its place
	// in the order of the gateways.
	gateway  bool
	rank     int
	lastTick time.Time
	series   Series
	// nextReserve is the earliest time for another ReserveTerms.
	nextReserve time.Time
	// newestBegun is the newest term that this machine has begun. It begins no term
	// twice.
	newestBegun model.Term

	// suspectReported is true once ReportSuspected was sent, and polledAll once all
	// servers were polled, since the leader's last answer.
	suspectReported bool
	polledAll       bool
	// leaderAnsweredAt is when the leader last answered.
	leaderAnsweredAt time.Time
	// activeCause is the present cause for a new term, and causeSince when it began.
	activeCause Cause
	causeSince  time.Time
	// reportedProblem is the lack of servers or terms that was reported last. It is
	// not reported again at each tick.
	reportedProblem ReportKind
	// retryAt is the earliest time for the next attempt.
	retryAt time.Time
	drain   drain
	// attempts counts the attempts begun, attempt is the one under way or nil.
	attempts uint64
	attempt  *attempt
	// actions are those to be returned by the present call.
	actions []Action

	disabled disabledGuards
}

// leader is a primary and its term.
type leader struct {
	server model.ServerID
	term   model.Term
}

// Config holds the settings of a Machine.
type Config struct {
	// Servers are the members of the group. A majority of them decides.
	Servers []model.ServerID
	// Detector decides when the primary has failed.
	Detector Detector
	Timing   Timing
	// Check counts broken invariants. It may be nil.
	Check *assert.Checker
	// Now is the present time.
	Now time.Time
}

// disabledGuards switches off single safety conditions, so that tests can show what
// each of them prevents.
type disabledGuards struct {
	// ackAtPrimary counts an entry as committed once the primary alone holds it.
	ackAtPrimary bool
	// ackAnyTerm counts what a server holds of any term as held of the leader's term.
	ackAnyTerm bool
	// ackReplaced counts entries of a replaced primary as committed.
	ackReplaced bool
	// promoteFirst promotes the server that promised last, whatever it holds.
	promoteFirst bool
	// promoteEarly promotes after a single promise.
	promoteEarly bool
	// acceptLate takes answers that belong to an earlier attempt.
	acceptLate bool
	// reuseTerm begins a term again that an earlier attempt has used.
	reuseTerm bool
	// confirmAnyTerm confirms the primary by servers that have promised a newer term.
	confirmAnyTerm bool
}

// New returns a machine that has no status of any server yet.
func New(c Config) *Machine {
	m := &Machine{
		order:    c.Servers,
		detector: c.Detector,
		timing:   c.Timing,
		check:    c.Check,
		records:  make(map[model.ServerID]*record, len(c.Servers)),
		lastTick: c.Now,
	}
	for _, id := range c.Servers {
		m.records[id] = &record{answeredAt: c.Now}
	}
	return m
}

// majority returns the least number of servers such that any two sets of that size
// share a server.
func (m *Machine) majority() int { return len(m.order)/2 + 1 }

// emit adds an action to the result of the present call.
func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// flush returns the actions of the present call.
func (m *Machine) flush() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// SetRole says whether this instance is a gateway of the service, and its rank in the
// order of the service's gateways, from 0. Only a gateway begins terms.
func (m *Machine) SetRole(gateway bool, rank int) { m.gateway, m.rank = gateway, rank }

// rankDelay returns how long this instance leaves it to gateways of lower rank to
// act.
func (m *Machine) rankDelay() time.Duration { return time.Duration(m.rank) * m.timing.RankDelay }

// NewestLedTerm returns the newest term that is known to have had a primary.
func (m *Machine) NewestLedTerm() model.Term { return m.leader.term }

// newest returns the newest term that any server is known to have promised.
func (m *Machine) newest() model.Term {
	t := m.leader.term
	for _, r := range m.records {
		t = max(t, r.promised)
	}
	return t
}
