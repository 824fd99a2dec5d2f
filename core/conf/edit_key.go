package conf

import (
	"slices"

	"pomelofork/core/model"
)

// GiveKey is the change that adds a key to a client account.
type GiveKey struct {
	// Account identifies the account that the key is for.
	Account model.AccountID `json:"account"`
	// SHA256 is the SHA-256 hash of the key in lower-case hexadecimal digits.
	SHA256 string `json:"sha256"`
	// Label is the operator's note about the key.
	Label string `json:"label,omitempty"`
}

// apply implements edit. If the account already has maxKeys keys, its oldest withdrawn
// key is removed. A caller that still uses the removed key is then told that the key is
// wrong, no longer that it was withdrawn.
func (e *GiveKey) apply(d *Document, faults *FaultsError) {
	account := d.account("give_key.account", e.Account, faults)
	if account == nil {
		return
	}
	if len(account.Keys) >= maxKeys {
		oldest := slices.IndexFunc(account.Keys, func(k KeyEntry) bool { return k.Withdrawn })
		if oldest < 0 {
			faults.add("give_key.account", "account %q already has %d valid keys, withdraw one first", string(e.Account), maxKeys)
			return
		}
		account.Keys = slices.Delete(account.Keys, oldest, oldest+1)
	}
	account.Keys = append(account.Keys, KeyEntry{SHA256: e.SHA256, Label: e.Label})
}

// WithdrawKey is the change that makes one key of a client account invalid.
type WithdrawKey struct {
	// Account identifies the account that the key belongs to.
	Account model.AccountID `json:"account"`
	// Key identifies the key to withdraw.
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

// account returns the entry of an account. If there is none, it returns nil and adds a
// fault at place.
func (d *Document) account(place string, id model.AccountID, faults *FaultsError) *AccountEntry {
	for i := range d.Accounts {
		if d.Accounts[i].ID == id {
			return &d.Accounts[i]
		}
	}
	faults.add(place, "no account %q is declared", string(id))
	return nil
}
