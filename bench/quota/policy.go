package quota

import (
	"time"

	"pomelofork/core/limit"
)

// policy is a way to keep an account's rate over a fleet.
type policy interface {
	// take decides on a request at an entry, now or later.
	take(entry int, done func(granted bool))
	// lose takes an instance away for good.
	lose(instance int)
	// cut cuts an instance off the store and all others for good.
	cut(instance int)
	// outage says whether the store answers.
	outage(down bool)
}

// Build returns a policy in an environment.
type Build func(e *environment) policy

// environment is what a policy lives in.
type environment struct {
	agenda
	rate     limit.Rate
	messages int
}

// call sends a message and passes the answer back, in the time that both take.
func (e *environment) call(there func(), back func()) {
	e.messages += 2
	e.after(oneWay, func() {
		there()
		e.after(oneWay, back)
	})
}

// Policies are the compared ways by name.
func Policies() map[string]Build {
	return map[string]Build{
		"conserved_shares":    newConserved,
		"central_bucket":      newCentral,
		"equal_static_shares": newStatic,
		"rebalanced_buckets":  newRebalanced,
	}
}

// takeoverTime is the time from the loss of a holder until its successor may act.
func takeoverTime(take time.Duration) time.Duration { return silence + swapTime + take }
