package conf

import (
	"slices"
	"time"

	"pomelofork/core/model"
)

// Route is one declared route with the active preset applied.
type Route struct {
	entry  *RouteEntry
	maxAge time.Duration
}

// ID returns the route's identifier.
func (r Route) ID() model.RouteID { return r.entry.ID }

// Service returns the identifier of the service that requests on the route run at.
func (r Route) Service() model.ServiceID { return r.entry.Service }

// Access returns whether the route is for reads or for writes.
func (r Route) Access() model.Access {
	if r.entry.Access == accessWrite {
		return model.AccessWrite
	}
	return model.AccessRead
}

// MaxAge returns how old the data of a read may be. Zero means that reads must return
// the latest data.
func (r Route) MaxAge() time.Duration { return r.maxAge }

// Idempotent reports whether a request may be run more than once, which is always true
// on a read route.
func (r Route) Idempotent() bool {
	return r.entry.Idempotent || r.Access() == model.AccessRead
}

// OpenToAll reports whether the route is open to callers regardless of their account.
func (r Route) OpenToAll() bool { return r.entry.OpenToAll }

// ChargedTo returns the account whose tokens are used by callers without a key, and
// false if such callers are refused.
func (r Route) ChargedTo() (model.AccountID, bool) {
	return r.entry.ChargedTo, r.entry.ChargedTo != ""
}

// Allows reports whether callers with a key of the account may use the route.
func (r Route) Allows(account model.AccountID) bool {
	return len(r.entry.Accounts) == 0 || slices.Contains(r.entry.Accounts, account)
}
