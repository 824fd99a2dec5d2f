package conf

import (
	"slices"
	"time"

	"pomelofork/core/model"
)

// Route is one declared route with the preset in force applied.
type Route struct {
	entry  *RouteEntry
	maxAge time.Duration
}

// ID returns the route's identifier.
func (r Route) ID() model.RouteID { return r.entry.ID }

// Service returns where the route leads.
func (r Route) Service() model.ServiceID { return r.entry.Service }

// Access says whether the route may write.
func (r Route) Access() model.Access {
	if r.entry.Access == accessWrite {
		return model.AccessWrite
	}
	return model.AccessRead
}

// MaxAge returns the age of data that the route accepts. Zero accepts none.
func (r Route) MaxAge() time.Duration { return r.maxAge }

// Idempotent reports whether a request may be repeated. A read always may.
func (r Route) Idempotent() bool {
	return r.entry.Idempotent || r.Access() == model.AccessRead
}

// OpenToAll reports whether callers need no key of an account that is named here.
func (r Route) OpenToAll() bool { return r.entry.OpenToAll }

// ChargedTo returns the account whose rate pays for callers without a key, and
// false when such callers are refused.
func (r Route) ChargedTo() (model.AccountID, bool) {
	return r.entry.ChargedTo, r.entry.ChargedTo != ""
}

// Allows reports whether callers with a key of the account may use the route.
func (r Route) Allows(account model.AccountID) bool {
	return len(r.entry.Accounts) == 0 || slices.Contains(r.entry.Accounts, account)
}
