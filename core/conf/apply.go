package conf

import (
	"encoding/json"
	"fmt"
	"time"
)

// Apply returns the configuration that a change makes out of c, one version on. A
// nil c stands for a store without a configuration, which only Replace can fill.
// The error is a *FaultsError when the change can't be made or breaks a check.
func (c *Config) Apply(change Change, operator string, now time.Time) (*Config, error) {
	kind, what, err := change.edit()
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
		faults.add(kind, "the store holds no configuration yet, only replace can put one")
		return nil, faults
	}
	if what.apply(document, faults); len(faults.faults) > 0 {
		return nil, faults
	}
	document.Version++
	document.record(ChangeEntry{
		ID: change.ID, Version: document.Version, Fingerprint: fingerprint,
		Operator: operator, Kind: kind, AtMs: now.UnixMilli(),
	})
	return NewConfig(document)
}

// clone returns a copy of the document that shares nothing with it. An absent
// configuration gives an empty document.
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

// record remembers a change and forgets the oldest beyond the bound.
func (d *Document) record(entry ChangeEntry) {
	d.Changes = append(d.Changes, entry)
	if excess := len(d.Changes) - maxChanges; excess > 0 {
		d.Changes = d.Changes[excess:]
	}
}

// FindChange returns the record of a change, and false when it isn't remembered.
func (c *Config) FindChange(id string) (ChangeEntry, bool) {
	for _, entry := range c.document.Changes {
		if entry.ID == id {
			return entry, true
		}
	}
	return ChangeEntry{}, false
}

// remembers reports whether the change that made a version must still be recorded.
func (c *Config) remembers(version uint64) bool {
	return len(c.document.Changes) > 0 && c.document.Changes[0].Version <= version
}
