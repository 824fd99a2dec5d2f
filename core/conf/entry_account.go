package conf

import "pomelofork/core/model"

// AccountEntry declares one client account.
type AccountEntry struct {
	// ID is the account's identifier, which callers send as their user name.
	ID model.AccountID `json:"id"`
	// RatePerS is the rate in tokens per second, over the whole fleet.
	RatePerS float64 `json:"rate_per_s"`
	// Burst is the largest number of tokens that may accumulate, over the whole fleet.
	Burst int `json:"burst"`
	// Share is the weight by which the account gets slots when they are scarce.
	Share int `json:"share"`
	// Keys are the account's keys, including withdrawn ones.
	Keys []KeyEntry `json:"keys,omitempty"`
}
