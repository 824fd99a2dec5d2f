package conf

import "pomelofork/core/model"

// SetLimits is the change that sets the rate, burst or share of a client account. A nil
// field leaves the value as it is.
type SetLimits struct {
	// Account identifies the account to change.
	Account model.AccountID `json:"account"`
	// RatePerS is the new rate in tokens per second, over the whole fleet.
	RatePerS *float64 `json:"rate_per_s,omitempty"`
	// Burst is the new largest number of tokens that may accumulate, over the whole
	// fleet.
	Burst *int `json:"burst,omitempty"`
	// Share is the new weight by which the account gets slots when they are scarce.
	Share *int `json:"share,omitempty"`
}

// apply implements edit.
func (e *SetLimits) apply(d *Document, faults *FaultsError) {
	account := d.account("set_limits.account", e.Account, faults)
	if account == nil {
		return
	}
	setIfPresent(&account.RatePerS, e.RatePerS)
	setIfPresent(&account.Burst, e.Burst)
	setIfPresent(&account.Share, e.Share)
}

// setIfPresent copies value to into unless value is nil.
func setIfPresent[T any](into, value *T) {
	if value != nil {
		*into = *value
	}
}
