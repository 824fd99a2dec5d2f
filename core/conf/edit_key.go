package conf

import (
	"slices"

	"pomelofork/core/model"
)

// GiveKey gives an account one more key.
type GiveKey struct {
	// Account is whom the key is for.
	Account model.AccountID `json:"account"`
	// SHA256 is the hash of the key in hexadecimal digits.
	SHA256 string `json:"sha256"`
	// Label is the operator's note about the key.
	Label string `json:"label,omitempty"`
}

// apply implements edit. An account that is full of keys loses its oldest
// withdrawn one, whose bearer is from then on told that the key is wrong.
func (e *GiveKey) apply(d *Document, faults *FaultsError) {
	account := d.account("give_key.account", e.Account, faults)
	if account == nil {
		return
	}
	if len(account.Keys) >= maxKeys {
		oldest := slices.IndexFunc(account.Keys, func(k KeyEntry) bool { return k.Withdrawn })
		if oldest < 0 {
			faults.add("give_key.account", "account %q has %d keys in force, withdraw one first", string(e.Account), maxKeys)
			return
		}
		account.Keys = slices.Delete(account.Keys, oldest, oldest+1)
	}
	account.Keys = append(account.Keys, KeyEntry{SHA256: e.SHA256, Label: e.Label})
}

// WithdrawKey makes one key of an account stop working.
type WithdrawKey struct {
	// Account is whose key it is.
	Account model.AccountID `json:"account"`
	// Key is the key's identifier.
	Key KeyID `json:"key"`
}

// apply implements edit.
func (e *WithdrawKey) apply(d *Document, faults *FaultsError) {
	account := d.account("withdraw_key.account", e.Account, faults)
	if account == nil {
		return
	}
	for i := range account.Keys {
		if keyID(account.Keys[i].SHA256) == e.Key {
			account.Keys[i].Withdrawn = true
			return
		}
	}
	faults.add("withdraw_key.key", "account %q has no key %q", string(e.Account), string(e.Key))
}

// account returns one account's entry, or records that there is none.
func (d *Document) account(place string, id model.AccountID, faults *FaultsError) *AccountEntry {
	for i := range d.Accounts {
		if d.Accounts[i].ID == id {
			return &d.Accounts[i]
		}
	}
	faults.add(place, "no account %q is declared", string(id))
	return nil
}
