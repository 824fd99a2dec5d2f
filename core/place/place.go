// Package place chooses the backend server of a statement.
//
// Load pattern: reads of one service that accept some age arrive in all failure domains at
// once. A read goes to the nearest server whose log is known to hold the point that the
// read needs, unless another server would start it sooner. The primary gets a read only if
// it is much the better choice, since it alone can run writes.
package place

import (
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
)

const (
	// crossDomainCost is the cost of sending a read to another failure domain: some round
	// trips of about two milliseconds each, and traffic that is charged for.
	crossDomainCost = 12 * time.Millisecond
	// scarceDomainCost is the same where connections are scarce: the round trips only. A read that stays in
	// its domain would often open a connection there, which costs more.
	scarceDomainCost = 4 * time.Millisecond
	// unseenPointCost is the cost of a read at a replica that isn't known to hold the point, where
	// connections are scarce and the replica hasn't lagged lately: the small risk of another attempt. An
	// entry sees the point of a replica only with its own reads there.
	unseenPointCost = 2 * time.Millisecond
	// primaryCost is the cost of a read at a primary to the writes that only it can run:
	// about the time of one statement in a slot.
	primaryCost = 10 * time.Millisecond
	// inFlightCost is the time that one statement in flight from this instance adds to the
	// wait at a server with one slot: about its own cost.
	inFlightCost = 10 * time.Millisecond
	// waitMaxAge is the age from which a reported wait is ignored.
	waitMaxAge = 100 * time.Millisecond
	// laggingRetryAfter is the time after which a server whose log lacked the point is
	// tried again: about the usual lag of a replica.
	laggingRetryAfter = 80 * time.Millisecond
	// latencyFadeTime is the time over which a measured latency fades to zero, so that a
	// server that was slow is tried again.
	latencyFadeTime = 2 * time.Second
	// toleratedLatency is the latency up to which servers count as equal, since classes of
	// reads differ by as much.
	toleratedLatency = 30 * time.Millisecond
	// failureCost is the cost of a failed read to its caller: a retry at another server,
	// or the whole operation.
	failureCost = 200 * time.Millisecond
	// coldCost is the cost of a read at a cold server beyond that at a warm one. It is above the costs
	// of another failure domain and of the primary, so that a warm server is preferred unless reads
	// wait there for longer than a statement usually takes at a cold one.
	coldCost = 40 * time.Millisecond
)

// Candidate is what is known of one server.
type Candidate struct {
	// Server is the server.
	Server plan.Server
	// Point is the point in its log that the server was last known to hold.
	Point model.Point
	// PointAt is the time as of which the server held Point.
	PointAt time.Time
	// Wait is the time that a new statement would wait for a slot, as last reported by the
	// gateway of the server.
	Wait time.Duration
	// WaitAt is when Wait was reported.
	WaitAt time.Time
	// Latency is the time that recent reads took there.
	Latency time.Duration
	// LatencyAt is when Latency was measured.
	LatencyAt time.Time
	// FailureRate is the part of the recent statements that failed there, from 0 to 1.
	FailureRate float64
	// InFlight is the number of statements of this instance that run or wait at the
	// server.
	InFlight int
	// Lagging says that the server lacked the point of a read a moment ago.
	Lagging bool
	// Scarce says that more accounts use the server than it accepts connections, and Opening is what opening
	// one for the account of the read is expected to cost, or zero if the account has one.
	Scarce  bool
	Opening time.Duration
	// Cold says that the server has just started and takes few statements. ColdInterval is the time
	// between two that it can take, or zero if that isn't known.
	Cold         bool
	ColdInterval time.Duration
	// SameDomain says that the server is in the failure domain of this instance.
	SameDomain bool
	// Estimate replaces Wait, InFlight, Latency and SameDomain, and the lag known from Point. Nil
	// means that there is none.
	Estimate *Estimate
}

// Requirement says which servers may run a statement.
type Requirement struct {
	// Primary says that only the primary may run it.
	Primary bool
	// After is the point that the server's log must hold. Zero means any.
	After model.Point
}

// Choose returns the index of the best candidate. It returns false when no candidate may
// run the statement.
func Choose(now time.Time, required Requirement, candidates []Candidate) (int, bool) {
	best := -1
	var bestCost time.Duration
	for i, c := range candidates {
		if !mayRun(now, required, c) {
			continue
		}
		if required.Primary {
			// Two servers may both report that they are the primary. The report with the
			// later revision is right.
			if best < 0 || c.Server.Revision > candidates[best].Server.Revision {
				best = i
			}
			continue
		}
		if cost := costOf(now, required, c) + coldCostOf(c) + c.Opening; best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

// mayRun reports whether the server may run the statement.
func mayRun(now time.Time, required Requirement, c Candidate) bool {
	if required.Primary || c.Server.Primary {
		return c.Server.Primary
	}
	if c.Server.Draining {
		return false
	}
	if c.Estimate != nil {
		return !c.Point.Less(required.After) || c.Estimate.MayHold
	}
	return !c.Point.Less(required.After) || now.Sub(c.PointAt) >= laggingRetryAfter
}

// coldCostOf returns what a read costs more at the server because it is cold.
func coldCostOf(c Candidate) time.Duration {
	if !c.Cold {
		return 0
	}
	return coldCost + time.Duration(c.InFlight)*c.ColdInterval
}

// costOf returns the expected cost of choosing the server, as a time.
func costOf(now time.Time, required Requirement, c Candidate) time.Duration {
	if c.Estimate != nil {
		return c.Estimate.cost(c)
	}
	cost := time.Duration(c.InFlight) * inFlightCost / time.Duration(max(c.Server.Slots, 1))
	if now.Sub(c.WaitAt) < waitMaxAge {
		cost = max(cost, c.Wait)
	}
	switch {
	case c.SameDomain:
	case c.Scarce:
		cost += scarceDomainCost
	default:
		cost += crossDomainCost
	}
	if c.Server.Primary {
		cost += primaryCost
	}
	switch {
	case !c.Point.Less(required.After):
	case c.Scarce && !c.Lagging:
		cost += unseenPointCost
	default:
		cost += crossDomainCost
	}
	if age := now.Sub(c.LatencyAt); age < latencyFadeTime {
		cost += time.Duration(float64(max(c.Latency-toleratedLatency, 0)) * (1 - age.Seconds()/latencyFadeTime.Seconds()))
	}
	return cost + time.Duration(c.FailureRate*float64(failureCost))
}
