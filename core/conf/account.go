package conf

import "pomelofork/core/model"

// Account is one client account with the preset in force applied.
type Account struct {
	id    model.AccountID
	rate  float64
	burst int
	share int
	keys  []Key
}

// ID returns the account's identifier.
func (a Account) ID() model.AccountID { return a.id }

// Rate returns the rate over the whole fleet in tokens a second.
func (a Account) Rate() float64 { return a.rate }

// Burst returns how many tokens may be saved up over the whole fleet.
func (a Account) Burst() int { return a.burst }

// Share returns the weight of the account where slots are scarce.
func (a Account) Share() int { return a.share }

// Keys returns the keys, withdrawn ones included. The caller must not change them.
func (a Account) Keys() []Key { return a.keys }
