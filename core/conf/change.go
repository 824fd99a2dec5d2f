package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
)

// fingerprintBytes is the length of a change's fingerprint, which is the beginning of
// its SHA-256 hash.
const fingerprintBytes = 16

// Change is one change that an operator requests, as it is sent in the administration
// API. Besides ID and ExpectedVersion, exactly one field must be set.
type Change struct {
	// ID is an identifier that the operator's client chooses. Sending the same change
	// again with the same identifier is safe: it takes effect at most once, and the
	// answer is the same as long as the change is among the recorded ones.
	ID string `json:"id"`
	// ExpectedVersion is the version to which the change applies. If the stored version
	// is another one, the change is not made. Zero means that the store must not hold
	// a configuration.
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

	EvacuateDomain *EvacuateDomain `json:"evacuate_domain,omitempty"`
	ReturnDomain   *ReturnDomain   `json:"return_domain,omitempty"`
}

// edit is the operation of a change, such as *SetLimits or *AddRoute.
type edit interface {
	// apply modifies the document, or adds to faults the reasons why it can't.
	apply(d *Document, faults *FaultsError)
}

// ParseChange parses a change from JSON. It doesn't check whether the change can be
// applied to a configuration. The error is a *FaultsError.
func ParseChange(text []byte) (Change, error) {
	faults := &FaultsError{}
	if len(text) > MaxSize {
		faults.add("", "change has %d bytes, want at most %d", len(text), MaxSize)
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

// Kind returns the JSON name of the change's operation, for example "set_limits", or
// "" if the change is malformed.
func (c Change) Kind() string {
	kind, _, err := c.edit()
	if err != nil {
		return ""
	}
	return kind
}

// edit returns the JSON name of the change's operation and the operation itself. The
// error is a *FaultsError if the identifier is invalid or the change doesn't have
// exactly one operation.
func (c Change) edit() (string, edit, error) {
	checks := checker{}
	checks.id("id", c.ID)
	var kinds []string
	var found edit
	fields := reflect.ValueOf(c)
	for name, index := range fieldIndexes(fields.Type()) {
		candidate, ok := fields.Field(index).Interface().(edit)
		if !ok || fields.Field(index).IsNil() {
			continue
		}
		kinds, found = append(kinds, name), candidate
	}
	if len(kinds) != 1 {
		checks.faults.add("", "want exactly one operation, such as use_preset, not %d", len(kinds))
	}
	if err := checks.faults.orNil(); err != nil {
		return "", nil, err
	}
	return kinds[0], found, nil
}

// fingerprint returns a hash that distinguishes this change from a different one with
// the same identifier.
func (c Change) fingerprint() (string, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return "", fmt.Errorf("encode change: %w", err)
	}
	hash := sha256.Sum256(text)
	return hex.EncodeToString(hash[:fingerprintBytes]), nil
}
