package conf

import "pomelofork/core/model"

// RouteEntry declares one route.
type RouteEntry struct {
	// ID is the route's identifier, unique over all services.
	ID model.RouteID `json:"id"`
	// Service identifies the service that the route's requests run at.
	Service model.ServiceID `json:"service"`
	// Access is "read" or "write".
	Access string `json:"access"`
	// MaxAgeMs is how old the data of a read may be, in milliseconds. Zero means that
	// reads must return the latest data.
	MaxAgeMs int64 `json:"max_age_ms,omitempty"`
	// Idempotent says that a request may be run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// OpenToAll says that sessions of every account may use the route. Accounts must
	// then be empty. ChargedTo decides whether callers need a key at all.
	OpenToAll bool `json:"open_to_all,omitempty"`
	// ChargedTo is the account whose tokens are used by callers without a key, on a
	// route that is open to all. If it is empty, callers need the key of any account.
	ChargedTo model.AccountID `json:"charged_to,omitempty"`
	// Accounts are the accounts that may use the route. Empty means every account.
	Accounts []model.AccountID `json:"accounts,omitempty"`
}
