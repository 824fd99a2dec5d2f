package conf

import (
	"slices"

	"pomelofork/core/model"
)

// AddAccount is the change that adds a client account.
type AddAccount struct {
	// Account is the new account.
	Account AccountEntry `json:"account"`
}

// apply implements edit. The validation of the resulting document reports an account
// that already exists.
func (e *AddAccount) apply(d *Document, _ *FaultsError) {
	d.Accounts = append(d.Accounts, e.Account)
}

// RemoveAccount is the change that removes a client account with its keys. It is
// refused while a route refers to the account.
type RemoveAccount struct {
	// Account identifies the account to remove.
	Account model.AccountID `json:"account"`
}

// apply implements edit.
func (e *RemoveAccount) apply(d *Document, faults *FaultsError) {
	if d.account("remove_account.account", e.Account, faults) == nil {
		return
	}
	d.Accounts = slices.DeleteFunc(d.Accounts, func(a AccountEntry) bool { return a.ID == e.Account })
}
