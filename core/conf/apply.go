package conf

import (
	"encoding/json"
	"fmt"
	"time"
)

// Apply returns the configuration that results from applying a change to c. Its
// version is one higher than that of c. A nil c stands for a store without a
// configuration; only a Replace change applies to it. The error is a *FaultsError
// if the change can't be applied or the resulting document is invalid.
func (c *Config) Apply(change Change, operator string, now time.Time) (*Config, error) {
	kind, edit, err := change.edit()
	if err != nil {
		return nil, err
	}
	fingerprint, err := change.fingerprint()
	if err != nil {
		return nil, err
	}
	document, err := c.clone()
	if err != nil {
		return nil, err
	}
	faults := &FaultsError{}
	if c == nil && change.Replace == nil {
		faults.add(kind, "the store holds no configuration yet, only replace can create one")
		return nil, faults
	}
	if edit.apply(document, faults); len(faults.faults) > 0 {
		return nil, faults
	}
	document.Version++
	document.record(ChangeEntry{
		ID: change.ID, Version: document.Version, Fingerprint: fingerprint,
		Operator: operator, Kind: kind, AtMs: now.UnixMilli(),
	})
	return NewConfig(document)
}

// clone returns a deep copy of the document. A nil c gives an empty document.
func (c *Config) clone() (*Document, error) {
	document := &Document{}
	if c == nil {
		return document, nil
	}
	if err := json.Unmarshal(c.text, document); err != nil {
		return nil, fmt.Errorf("copy configuration: %w", err)
	}
	return document, nil
}

// record appends a change to the recorded changes and drops the oldest ones beyond
// maxChanges.
func (d *Document) record(entry ChangeEntry) {
	d.Changes = append(d.Changes, entry)
	if excess := len(d.Changes) - maxChanges; excess > 0 {
		d.Changes = d.Changes[excess:]
	}
}

// FindChange returns the recorded change with the given identifier, and false if
// there is none. Only the latest 128 changes are recorded.
func (c *Config) FindChange(id string) (ChangeEntry, bool) {
	for _, entry := range c.document.Changes {
		if entry.ID == id {
			return entry, true
		}
	}
	return ChangeEntry{}, false
}

// recordsReach reports whether the recorded changes go back to the given version, so
// that the change that made it would be found.
func (c *Config) recordsReach(version uint64) bool {
	return len(c.document.Changes) > 0 && c.document.Changes[0].Version <= version
}
