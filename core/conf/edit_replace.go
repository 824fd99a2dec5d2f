package conf

import "slices"

// Replace is the change that replaces the whole document. The version and the recorded
// changes of the new document are ignored. Withdrawn keys that the new document leaves
// out are kept in their accounts, so that a later document can't make them valid again.
type Replace struct {
	// Document is the new configuration.
	Document Document `json:"document"`
}

// apply implements edit.
func (e *Replace) apply(d *Document, faults *FaultsError) {
	withdrawn := map[string]bool{}
	for _, account := range d.Accounts {
		for _, key := range account.Keys {
			withdrawn[key.SHA256] = withdrawn[key.SHA256] || key.Withdrawn
		}
	}
	for i, account := range e.Document.Accounts {
		for j, key := range account.Keys {
			if withdrawn[key.SHA256] && !key.Withdrawn {
				place := element(join(element("replace.document.accounts", i), "keys"), j)
				faults.add(place, "a withdrawn key can't be made valid again")
			}
		}
	}
	former := *d
	*d = e.Document
	d.Version, d.Changes = former.Version, former.Changes
	d.Accounts = slices.Clone(e.Document.Accounts)
	for i := range d.Accounts {
		d.Accounts[i].Keys = keepWithdrawn(d.Accounts[i], former.Accounts)
	}
}

// keepWithdrawn returns the keys of an account, followed by the withdrawn keys of the
// former account with the same identifier that are missing there, up to maxKeys keys.
func keepWithdrawn(account AccountEntry, former []AccountEntry) []KeyEntry {
	keys := slices.Clone(account.Keys)
	index := slices.IndexFunc(former, func(a AccountEntry) bool { return a.ID == account.ID })
	if index < 0 {
		return keys
	}
	for _, key := range former[index].Keys {
		known := slices.ContainsFunc(keys, func(k KeyEntry) bool { return k.SHA256 == key.SHA256 })
		if key.Withdrawn && !known && len(keys) < maxKeys {
			keys = append(keys, key)
		}
	}
	return keys
}
