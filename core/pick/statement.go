package pick

import (
	"time"

	"pomelofork/core/eta"
	"pomelofork/core/lag"
	"pomelofork/core/model"
	"pomelofork/core/place"
	"pomelofork/core/plan"
)

// Statement is what counts of a statement for the choice of its server.
type Statement struct {
	Service model.ServiceID
	// Route, Priority and Account are those of the statement.
	Route    string
	Priority int
	Account  model.AccountID
	// Target is when it should be answered, and Deadline when its timeout expires.
	Target, Deadline time.Time
	// Required says which servers may run it.
	Required place.Requirement
	// Wanted is the time before which all commits must be in the server's log, as far as known from
	// Required.After.
	Wanted time.Time
	// Probed says that the last attempt was a probe, whose repetition has been taken from the budget.
	// It is kept over all attempts of the statement.
	Probed bool
}

// query returns the question when a server would answer the statement.
func (s *Statement) query(server plan.Server, sameDomain bool) eta.Query {
	return eta.Query{
		Server: server.ID, Slots: server.Slots, Route: s.Route, Priority: s.Priority, Account: s.Account,
		Beside: server.Primary && !s.Required.Primary, Far: !sameDomain,
	}
}

// Outlook is what the servers of a service are expected to do with a statement.
type Outlook struct {
	// options are the servers that may run it now.
	options []eta.Option
	// lagging are the replicas that will have caught up later.
	lagging []lag.Replacement
	// probes are the replicas that lack the wanted point and may be tried all the same.
	probes []model.ServerID
	// high is the high quantile of its work, with the longest round trip.
	high time.Duration
	// primaryClosedUntil is the time until which the primary takes no statements like it, or zero.
	primaryClosedUntil time.Time
}
