// Package promo decides when a service gets a new primary: when the present one is
// draining or its failure domain is evacuated, when its entry was removed from the store,
// when it refuses connections, or when it has not confirmed its role for too long.
//
// Load pattern: writes of a service wait or are refused while it has no primary, so
// each hundred milliseconds count. A primary that is only slow must not be replaced,
// since the commits that its replicas lack are lost with it.
package promo

import (
	"slices"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
)

const (
	// unconfirmedAfter is the time without a confirmation by the primary after which
	// it counts as failed. It spans several probes and is longer than any statement
	// of a usual load.
	unconfirmedAfter = 900 * time.Millisecond
	// doubtfulAfter is the time without a confirmation after which other instances are asked
	// whether the primary answers them. It is longer than the pause between two probes and
	// a usual answer.
	doubtfulAfter = 400 * time.Millisecond
	// refusedAfter is how long connections to the primary's address must have been
	// refused before it is replaced. It spans two probes, so that a single reset
	// connection does not suffice.
	refusedAfter = 250 * time.Millisecond
	// lostAfter is the time without a confirmation after which a primary counts as failed if its
	// failure domain counts as lost. It is longer than the pause between two probes and a usual
	// answer, so that a primary that still answers this instance stays.
	lostAfter = 350 * time.Millisecond
	// noPrimaryAfter is how long no server may report the primary role. A change of
	// roles becomes visible within one status report.
	noPrimaryAfter = 1500 * time.Millisecond
	// removedAfter is the time after which a primary whose entry was removed is
	// replaced. It is short because the entry is removed only once the server has left
	// or has been unresponsive for long.
	removedAfter = 100 * time.Millisecond
	// promotionTimeout is how long a promotion may take until the new primary is
	// visible. The promotion itself takes up to a second, and the report of the new
	// role follows.
	promotionTimeout = 2500 * time.Millisecond
)

// Action is what the caller has to do about the primary.
type Action uint8

// The actions.
const (
	// ActionNone means that the primary stays.
	ActionNone Action = iota
	// ActionHandOver means that the primary is draining, or its failure domain is evacuated, and
	// a replica takes over once it has received the whole log.
	ActionHandOver
	// ActionReplace means that the primary has failed and the replica that has
	// received most of the log takes over.
	ActionReplace
)

// Decision is an action with its reason. The zero value means that nothing is to be
// done.
type Decision struct {
	Action Action
	// Primary is the server to be replaced, or empty if none is known.
	Primary model.ServerID
	// Former is the server that was the primary last, or empty if none is known.
	Former model.ServerID
	// Reason explains the action in logs.
	Reason string
	// Since is when the condition that Reason states began.
	Since time.Time
}

// Machine tracks the primary of one service. It is not safe for concurrent use.
type Machine struct {
	// primary is the server that last reported the primary role, or empty.
	primary model.ServerID
	// confirmedAt is the latest time as of which primary is known to have been the
	// primary.
	confirmedAt time.Time
	// refusedSince is when a connection to primary was first refused after confirmedAt,
	// or zero if none was.
	refusedSince time.Time
	// noPrimarySince is when servers stopped reporting the primary role, or zero. former is the
	// server that did so before, or empty if it isn't known.
	noPrimarySince time.Time
	former         model.ServerID
	// domainLost is true while the failure domain of primary counts as lost.
	domainLost bool
	// removed is true when the entry of the last primary no longer exists.
	removed bool
	// promotionStartedAt and promotionTarget belong to the promotion under way. They
	// are zero if there is none.
	promotionStartedAt time.Time
	promotionTarget    model.ServerID
	// promotionFailed is true after a promotion that certainly doesn't take place, until the
	// next promotion or until a primary is found.
	promotionFailed bool
	// handOverAt is when to replace a primary whose failure domain is evacuated.
	handOverAt time.Time
}

// New returns a machine that takes the primary as confirmed at now. If the service has no primary,
// noPrimarySince is when it lost the former one, whose ID may be empty; otherwise both are zero.
//
// Load pattern: the instance that monitored the service is lost together with the primary, and
// another one takes over seconds later, while every write waits.
func New(now, noPrimarySince time.Time, former model.ServerID) *Machine {
	return &Machine{confirmedAt: now, noPrimarySince: noPrimarySince, former: former}
}

// Primary returns the server to probe, and false if no server reports the primary
// role. If several do, it is the one whose entry has the highest revision.
func (m *Machine) Primary(now time.Time, servers []plan.Server) (plan.Server, bool) {
	var primary plan.Server
	found := false
	for _, s := range servers {
		if s.Primary && (!found || s.Revision > primary.Revision) {
			primary, found = s, true
		}
	}
	if !found {
		if m.noPrimarySince.IsZero() {
			m.noPrimarySince = now
		}
		if m.primary != "" {
			m.former = m.primary
		}
		m.primary = ""
		m.removed = m.former != "" && !slices.ContainsFunc(servers, func(s plan.Server) bool { return s.ID == m.former })
		return primary, false
	}
	m.noPrimarySince, m.former, m.removed, m.promotionFailed = time.Time{}, "", false, false
	if primary.ID != m.primary {
		m.primary, m.confirmedAt, m.refusedSince, m.domainLost = primary.ID, now, time.Time{}, false
		if primary.ID == m.promotionTarget {
			m.promotionStartedAt, m.promotionTarget = time.Time{}, ""
		}
	}
	return primary, true
}

// PrimaryConfirmed records that the server was the primary of its service at some
// moment after at.
func (m *Machine) PrimaryConfirmed(at time.Time, id model.ServerID) {
	if id == m.primary && at.After(m.confirmedAt) {
		m.confirmedAt = at
		if at.After(m.refusedSince) {
			m.refusedSince = time.Time{}
		}
		if id == m.promotionTarget {
			m.promotionStartedAt, m.promotionTarget = time.Time{}, ""
		}
	}
}

// ConnectionRefused records that a connection to the server's address was refused, so
// that no process listens there.
func (m *Machine) ConnectionRefused(now time.Time, id model.ServerID) {
	if id == m.primary && m.refusedSince.IsZero() {
		m.refusedSince = now
	}
}

// DomainLost records whether the server's failure domain counts as lost: its members have fallen
// silent together, as seen from two other domains.
func (m *Machine) DomainLost(id model.ServerID, lost bool) { m.domainLost = lost && id == m.primary }

// PromotionStarted records that target was asked to become primary. Until it has done
// so, or promotionTimeout has passed, Decide returns no action.
func (m *Machine) PromotionStarted(now time.Time, target model.ServerID) {
	m.promotionStartedAt, m.promotionTarget, m.promotionFailed = now, target, false
}

// PromotionFailed records that the last promotion certainly does not take place, so
// that Decide need not wait for it.
func (m *Machine) PromotionFailed() {
	m.promotionStartedAt, m.promotionTarget, m.promotionFailed = time.Time{}, "", true
}

// Doubtful reports whether the primary's last confirmation is so old that others should be asked
// for a later one before Decide counts it as failed.
func (m *Machine) Doubtful(now time.Time) bool {
	return m.primary != "" && now.Sub(m.confirmedAt) >= doubtfulAfter
}

// HandOverAt sets the time from which the primary is replaced while its failure domain is evacuated.
func (m *Machine) HandOverAt(at time.Time) { m.handOverAt = at }

// Decide returns what is to be done, given all servers of the service.
func (m *Machine) Decide(now time.Time, servers []plan.Server) Decision {
	decision := m.decide(now, servers)
	if decision.Former = decision.Primary; decision.Former == "" && decision.Action != ActionNone {
		decision.Former = m.former
	}
	return decision
}

// decide returns the decision without Former.
func (m *Machine) decide(now time.Time, servers []plan.Server) Decision {
	if !m.promotionStartedAt.IsZero() && now.Sub(m.promotionStartedAt) < promotionTimeout {
		return Decision{}
	}
	primary, ok := m.Primary(now, servers)
	switch {
	case onlyEvacuated(servers, primary.ID):
		return Decision{}
	case !ok && m.removed && now.Sub(m.noPrimarySince) >= removedAfter:
		return Decision{Action: ActionReplace, Reason: "the primary is gone", Since: m.noPrimarySince}
	case !ok && m.promotionFailed:
		return Decision{Action: ActionReplace, Reason: "the last promotion was refused", Since: m.noPrimarySince}
	case !ok && now.Sub(m.noPrimarySince) >= noPrimaryAfter:
		return Decision{Action: ActionReplace, Reason: "no server reports the primary role", Since: m.noPrimarySince}
	case !ok:
		return Decision{}
	case !m.refusedSince.IsZero() && now.Sub(m.refusedSince) >= refusedAfter:
		return Decision{Action: ActionReplace, Primary: primary.ID, Reason: "connections to the primary's address are refused", Since: m.refusedSince}
	case m.domainLost && now.Sub(m.confirmedAt) >= lostAfter:
		return Decision{Action: ActionReplace, Primary: primary.ID, Reason: "the primary's failure domain is lost", Since: m.confirmedAt}
	case now.Sub(m.confirmedAt) >= unconfirmedAfter:
		return Decision{Action: ActionReplace, Primary: primary.ID, Reason: "primary did not confirm its role in time", Since: m.confirmedAt}
	case primary.Draining && hasReplica(servers):
		return Decision{Action: ActionHandOver, Primary: primary.ID, Reason: "primary is draining", Since: primary.DrainingSince}
	case primary.Evacuated() && !now.Before(m.handOverAt) && hasReplica(servers):
		return Decision{Action: ActionHandOver, Primary: primary.ID, Reason: "failure domain of the primary is evacuated", Since: primary.EvacuatedSince}
	default:
		return Decision{}
	}
}

// hasReplica reports whether there is a replica that is neither draining nor evacuated.
func hasReplica(servers []plan.Server) bool {
	for _, s := range servers {
		if !s.Primary && !s.Draining && !s.Evacuated() {
			return true
		}
	}
	return false
}

// CoverAllCommits reports whether every acknowledged commit is certain to be in at
// least one of the logs that were received. It takes the number of replicas that
// answered with their logs, and the number of all replicas. A commit is acknowledged
// once syncReplicas replicas have received it, so one of the answers has it if fewer
// than syncReplicas replicas have not answered. If syncReplicas is 0, commits are not
// replicated synchronously: any answer suffices, and a promotion may lose commits.
func CoverAllCommits(answers, replicas, syncReplicas int) bool {
	if syncReplicas == 0 {
		return answers > 0
	}
	return answers > replicas-syncReplicas
}

// ReplicaLog is the state of a replica's log, as the replica reported it.
type ReplicaLog struct {
	Server plan.Server
	// Point is the end of the log that the replica has received.
	Point model.Point
	// Term is the term that the server takes for the present one, and Primary says that it
	// considers itself the primary of that term.
	Term    model.Term
	Primary bool
	// Held is the term before which the replica receives nothing, or zero if it receives.
	Held model.Term
}

// outdated reports whether the server considers itself the primary of a term that has ended. It
// would answer as the primary before a promotion takes effect.
func (r ReplicaLog) outdated(newest model.Term) bool { return r.Primary && r.Term < newest }

// MostAdvanced returns the replica that is preferred for a promotion: the one that has received most
// of the log, among those that are not draining if there are any. It passes over servers that
// don't know yet that they were replaced as primary, and those in evacuated failure domains.
// It returns false if there is no other.
func MostAdvanced(replicas []ReplicaLog) (ReplicaLog, bool) { return mostAdvanced(replicas, true) }

// mostAdvanced is MostAdvanced, which prefers servers that aren't draining only if avoidDraining is true.
func mostAdvanced(replicas []ReplicaLog, avoidDraining bool) (best ReplicaLog, found bool) {
	var newest model.Term
	for _, r := range replicas {
		newest = max(newest, r.Term)
	}
	for _, r := range replicas {
		stays := avoidDraining && best.Server.Draining && !r.Server.Draining
		leaves := avoidDraining && !best.Server.Draining && r.Server.Draining
		switch {
		case r.outdated(newest), r.Server.Evacuated():
		case !found, stays, !leaves && best.Point.Less(r.Point):
			best, found = r, true
		}
	}
	return best, found
}
