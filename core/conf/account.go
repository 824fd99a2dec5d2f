package conf

import "pomelofork/core/model"

// Account is one client account with the active preset applied.
type Account struct {
	id    model.AccountID
	rate  float64
	burst int
	share int
	keys  []Key
}

// ID returns the account's identifier.
func (a Account) ID() model.AccountID { return a.id }

// Rate returns the account's rate in tokens per second, summed over all instances
// of the fleet and scaled by the active preset.
func (a Account) Rate() float64 { return a.rate }

// Burst returns the largest number of tokens that may accumulate, summed over all
// instances of the fleet.
func (a Account) Burst() int { return a.burst }

// Share returns the weight by which the account gets slots of a backend server when
// there are fewer slots than waiting statements.
func (a Account) Share() int { return a.share }

// Keys returns the account's keys, including withdrawn ones. The caller must not
// modify the slice.
func (a Account) Keys() []Key { return a.keys }
