package conf

import (
	"encoding/json"
	"fmt"
)

// Document is the configuration as it is stored and as operators write it. It is a
// message, so its fields are exported.
type Document struct {
	// Format is the constant Format.
	Format int `json:"format"`
	// Version counts the accepted changes, from 1.
	Version uint64 `json:"version"`
	// Preset names the one preset that is in force.
	Preset string `json:"preset"`
	// Presets are the declared presets by name.
	Presets map[string]PresetEntry `json:"presets,omitempty"`
	// Accounts are the client accounts.
	Accounts []AccountEntry `json:"accounts,omitempty"`
	// Services are the database services.
	Services []ServiceEntry `json:"services,omitempty"`
	// Routes are the declared routes.
	Routes []RouteEntry `json:"routes,omitempty"`
	// Changes are the latest accepted changes, oldest first. Operators leave it out.
	Changes []ChangeEntry `json:"changes,omitempty"`
}

// Encode returns the stored form of the document.
func (d *Document) Encode() ([]byte, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return text, nil
}
