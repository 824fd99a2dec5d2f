package conf

import (
	"slices"

	"pomelofork/core/model"
)

// AddAccount declares one more client account.
type AddAccount struct {
	// Account is the new account.
	Account AccountEntry `json:"account"`
}

// apply implements edit. The checks refuse a second account of one name.
func (e *AddAccount) apply(d *Document, _ *FaultsError) {
	d.Accounts = append(d.Accounts, e.Account)
}

// RemoveAccount removes a client account with its keys. Routes that name it must
// be changed first.
type RemoveAccount struct {
	// Account is the account to remove.
	Account model.AccountID `json:"account"`
}

// apply implements edit.
func (e *RemoveAccount) apply(d *Document, faults *FaultsError) {
	if d.account("remove_account.account", e.Account, faults) == nil {
		return
	}
	d.Accounts = slices.DeleteFunc(d.Accounts, func(a AccountEntry) bool { return a.ID == e.Account })
}
