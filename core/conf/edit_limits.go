package conf

import "pomelofork/core/model"

// SetLimits changes rate, burst or share of an account. Absent fields keep their
// value.
type SetLimits struct {
	// Account is whose limits change.
	Account model.AccountID `json:"account"`
	// RatePerS is the new rate in tokens a second.
	RatePerS *float64 `json:"rate_per_s,omitempty"`
	// Burst is the new number of tokens that may be saved up.
	Burst *int `json:"burst,omitempty"`
	// Share is the new weight where slots are scarce.
	Share *int `json:"share,omitempty"`
}

// apply implements edit.
func (e *SetLimits) apply(d *Document, faults *FaultsError) {
	account := d.account("set_limits.account", e.Account, faults)
	if account == nil {
		return
	}
	set(&account.RatePerS, e.RatePerS)
	set(&account.Burst, e.Burst)
	set(&account.Share, e.Share)
}

// set stores a value that is there.
func set[T any](into, value *T) {
	if value != nil {
		*into = *value
	}
}
