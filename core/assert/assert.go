// Package assert checks invariants in the running program. A violation is counted and
// reported, and the program continues. In tests a violation fails the test.
package assert

import (
	"fmt"
	"sync/atomic"
)

// Invariant is the number of one condition that must always hold. The numbers match the
// rows of docs/GUARANTEES.md and appear in logs.
type Invariant uint8

// The invariants, one for each row of docs/GUARANTEES.md.
const (
	// InvariantReadYourWrites says that a session reads its own writes, at every instance.
	InvariantReadYourWrites Invariant = iota + 1
	// InvariantNoAckByReplacedPrimary says that no write is acknowledged by a primary that
	// was replaced.
	InvariantNoAckByReplacedPrimary
	// InvariantNoMixedTransactions says that statements of different transactions never share an
	// open transaction on a connection.
	InvariantNoMixedTransactions
	// InvariantAccountKey says that a request runs only for the account whose key came with it.
	InvariantAccountKey
	// InvariantKeyNotForwarded says that no backend server receives a caller's key.
	InvariantKeyNotForwarded
	// InvariantWithdrawnKey says that a withdrawn key stops working within seconds, also in open
	// sessions.
	InvariantWithdrawnKey
	// InvariantRateAndBurst says that an account gets no more than its rate and burst over the
	// whole fleet.
	InvariantRateAndBurst
	// InvariantCompleteAnswer says that a caller receives the complete answer to its own request.
	InvariantCompleteAnswer
	// InvariantNotRunIsTrue says that a request that was refused as "not run" has no effect.
	InvariantNotRunIsTrue
	// InvariantAtMostOnce says that a request that must not be repeated runs at most once.
	InvariantAtMostOnce
	// InvariantDrainingServer says that a draining backend server gets no new work after a few
	// seconds.
	InvariantDrainingServer
	// InvariantPlannedStop says that a planned stop of an instance interrupts no request.
	InvariantPlannedStop
	// InvariantConfigNeverReverts says that the configuration version of an instance never
	// decreases.
	InvariantConfigNeverReverts
)

// Checker counts the violations in one process. The zero value counts without reporting.
// It is safe for concurrent use, provided that its report function is.
type Checker struct {
	report func(Invariant, string)
	count  atomic.Int64
}

// NewChecker returns a checker that calls report with each violation. Tests pass a
// function that fails the test; instances pass one that logs a numbered event.
func NewChecker(report func(Invariant, string)) *Checker {
	return &Checker{report: report}
}

// Hold asserts that an invariant holds: it records a violation of inv unless ok is true.
// The format and args describe the violation and are evaluated only then. A nil checker
// does nothing.
func (c *Checker) Hold(ok bool, inv Invariant, format string, args ...any) {
	if ok || c == nil {
		return
	}
	c.count.Add(1)
	if c.report != nil {
		c.report(inv, fmt.Sprintf(format, args...))
	}
}

// Violations returns the number of violations so far. It is zero for a nil checker.
func (c *Checker) Violations() int64 {
	if c == nil {
		return 0
	}
	return c.count.Load()
}
