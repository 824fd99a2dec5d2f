package conf

// Replace puts a whole document in place of the one in force. Version and recorded
// changes of the new document are not looked at.
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
				faults.add(place, "a withdrawn key can't be put in force again")
			}
		}
	}
	version, changes := d.Version, d.Changes
	*d = e.Document
	d.Version, d.Changes = version, changes
}
