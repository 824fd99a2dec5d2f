package place

import "time"

// Estimate is what is expected of a server, where it is estimated by observed values instead of the
// constant costs of this package.
type Estimate struct {
	// Answer is the expected time until the answer.
	Answer time.Duration
	// MayHold says that the server's log may hold the wanted point although Point doesn't cover it.
	MayHold bool
	// Closed says that the server refuses the statement, as far as known.
	Closed bool
}

// closedCost is the cost of a server that refuses the statement: such a server is chosen only if all do.
const closedCost = 10 * time.Second

// cost returns the expected cost of choosing the server.
func (e *Estimate) cost(c Candidate) time.Duration {
	cost := e.Answer + time.Duration(c.FailureRate*float64(failureCost))
	if c.Cold {
		cost += coldCost + time.Duration(c.InFlight)*c.ColdInterval
	}
	if c.Server.Primary {
		cost += primaryCost
	}
	if e.Closed {
		cost += closedCost
	}
	return cost
}
