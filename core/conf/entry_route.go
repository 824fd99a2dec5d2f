package conf

import "pomelofork/core/model"

// RouteEntry declares one route.
type RouteEntry struct {
	// ID is the route's identifier, unique over all services.
	ID model.RouteID `json:"id"`
	// Service is where the route leads.
	Service model.ServiceID `json:"service"`
	// Access is "read" or "write".
	Access string `json:"access"`
	// MaxAgeMs is the age of data that a read accepts, in milliseconds. Zero
	// accepts none.
	MaxAgeMs int64 `json:"max_age_ms,omitempty"`
	// Idempotent says that a request may be repeated.
	Idempotent bool `json:"idempotent,omitempty"`
	// OpenToAll says that callers need no key of an account that is named here.
	OpenToAll bool `json:"open_to_all,omitempty"`
	// ChargedTo is the account whose rate pays for callers without a key on a
	// route that is open to all. Without it they still need some account's key.
	ChargedTo model.AccountID `json:"charged_to,omitempty"`
	// Accounts are the accounts that may use the route. None means every account.
	Accounts []model.AccountID `json:"accounts,omitempty"`
}
