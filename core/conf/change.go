package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
)

// fingerprintBytes is how much of a hash tells two changes apart, in bytes.
const fingerprintBytes = 16

// Change is one change that an operator asks for. It is a message, so its fields
// are exported. Besides ID and ExpectedVersion exactly one field is set.
type Change struct {
	// ID is chosen by the operator's client. Sending the same change again under
	// the same identifier is safe and gives the same answer.
	ID string `json:"id"`
	// ExpectedVersion is the version that the operator has seen. The change is
	// made to this version or not at all. Zero expects no configuration.
	ExpectedVersion uint64 `json:"expected_version"`

	Replace       *Replace       `json:"replace,omitempty"`
	UsePreset     *UsePreset     `json:"use_preset,omitempty"`
	GiveKey       *GiveKey       `json:"give_key,omitempty"`
	WithdrawKey   *WithdrawKey   `json:"withdraw_key,omitempty"`
	SetLimits     *SetLimits     `json:"set_limits,omitempty"`
	AddAccount    *AddAccount    `json:"add_account,omitempty"`
	RemoveAccount *RemoveAccount `json:"remove_account,omitempty"`
	AddRoute      *AddRoute      `json:"add_route,omitempty"`
	RemoveRoute   *RemoveRoute   `json:"remove_route,omitempty"`
	DrainServer   *DrainServer   `json:"drain_server,omitempty"`
	ReturnServer  *ReturnServer  `json:"return_server,omitempty"`
}

// edit is the part of a change that says what to do.
type edit interface {
	// apply changes the document, or records why it can't.
	apply(d *Document, faults *FaultsError)
}

// ParseChange reads a change by its form.
func ParseChange(text []byte) (Change, error) {
	faults := &FaultsError{}
	if len(text) > MaxSize {
		faults.add("", "change has %d bytes, want %d at the most", len(text), MaxSize)
		return Change{}, faults
	}
	tree, ok := readTree(text, faults)
	if !ok {
		return Change{}, faults
	}
	change := Change{}
	decode("", tree, reflect.ValueOf(&change).Elem(), faults)
	if err := faults.orNil(); err != nil {
		return Change{}, err
	}
	_, _, err := change.edit()
	return change, err
}

// Kind returns the name of the one field that says what to do, or "" when the
// change is malformed.
func (c Change) Kind() string {
	kind, _, err := c.edit()
	if err != nil {
		return ""
	}
	return kind
}

// edit returns the name and the value of the one field that says what to do.
func (c Change) edit() (string, edit, error) {
	checks := checker{}
	checks.id("id", c.ID)
	var kinds []string
	var found edit
	fields := reflect.ValueOf(c)
	for name, index := range fieldIndexes(fields.Type()) {
		one, ok := fields.Field(index).Interface().(edit)
		if !ok || fields.Field(index).IsNil() {
			continue
		}
		kinds, found = append(kinds, name), one
	}
	if len(kinds) != 1 {
		checks.faults.add("", "want exactly one change, not %d", len(kinds))
	}
	if err := checks.faults.orNil(); err != nil {
		return "", nil, err
	}
	return kinds[0], found, nil
}

// fingerprint tells another change under the same identifier apart.
func (c Change) fingerprint() (string, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return "", fmt.Errorf("encode change: %w", err)
	}
	hash := sha256.Sum256(text)
	return hex.EncodeToString(hash[:fingerprintBytes]), nil
}
