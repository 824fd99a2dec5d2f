package conf

import (
	"encoding/json"
	"fmt"

	"pomelofork/core/model"
)

// Document is the configuration as it is stored and as operators write it. It may be
// invalid; Parse and NewConfig validate it.
type Document struct {
	// Format is the format number of the document, which must be the constant Format.
	Format int `json:"format"`
	// Version starts at 1 and grows by 1 with each accepted change.
	Version uint64 `json:"version"`
	// Preset is the name of the active preset.
	Preset string `json:"preset"`
	// Presets are the declared presets by name.
	Presets map[string]PresetEntry `json:"presets,omitempty"`
	// Accounts are the client accounts.
	Accounts []AccountEntry `json:"accounts,omitempty"`
	// Services are the database services.
	Services []ServiceEntry `json:"services,omitempty"`
	// Routes are the declared routes.
	Routes []RouteEntry `json:"routes,omitempty"`
	// EvacuatedDomains are the failure domains whose backend servers are all draining.
	EvacuatedDomains []model.Domain `json:"evacuated_domains,omitempty"`
	// Changes are the latest accepted changes, oldest first. Operators leave the field
	// out.
	Changes []ChangeEntry `json:"changes,omitempty"`
}

// Encode returns the JSON form in which the document is stored.
func (d *Document) Encode() ([]byte, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return text, nil
}
