package entry

import (
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/quota"
	"pomelofork/core/stmt"
	"pomelofork/io/view"
)

// Fleet is what an entry uses of the instances, this one included.
type Fleet interface {
	// Run runs an order on the server, through the instance that holds the server's
	// connections. A result with NotSent says that the server did not receive the order.
	Run(now time.Time, server plan.Server, order *stmt.Order) stmt.Result
	// Draw draws one token of an account and up to prefetch more for later operations. It
	// waits up to maxWait for the first one to accrue. A grant without tokens says when to
	// retry. Draw returns false if no issuer of the account could be asked.
	Draw(now time.Time, account model.AccountID, prefetch int, maxWait time.Duration) (quota.Grant, bool)
	// NewestPoint asks the instance that monitors the service's primary for a point that
	// covers every commit acknowledged before the returned time. It returns false if no
	// other instance knows one.
	NewestPoint(now time.Time, service model.ServiceID) (time.Time, model.Point, bool)
}

// View is what an entry uses of the state that this instance gets from the store.
type View interface {
	// State returns the current state, which must not be changed.
	State() *view.State
	// FreshAsOf returns the time as of which the state was last confirmed to be complete. It
	// returns false if it never was.
	FreshAsOf() (time.Time, bool)
}
