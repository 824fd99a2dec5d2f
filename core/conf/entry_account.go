package conf

import "pomelofork/core/model"

// AccountEntry declares one client account.
type AccountEntry struct {
	// ID is the account's identifier, which callers send as their user.
	ID model.AccountID `json:"id"`
	// RatePerS is the rate in tokens a second, over the whole fleet.
	RatePerS float64 `json:"rate_per_s"`
	// Burst is the number of tokens that may be saved up, over the whole fleet.
	Burst int `json:"burst"`
	// Share is the account's weight where slots are scarce.
	Share int `json:"share"`
	// Keys are the account's keys, withdrawn ones included.
	Keys []KeyEntry `json:"keys,omitempty"`
}
