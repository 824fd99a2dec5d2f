package scrape

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"pomelofork/core/model"
	"pomelofork/io/meter"
)

// Account holds the counters of one client account at one instance, in units of work
// since the start of the process.
type Account struct {
	Served        float64 `json:"served"`
	RefusedByRate float64 `json:"refused_by_rate"`
	Failed        float64 `json:"failed"`
}

// Service holds the metrics of one service at one instance.
type Service struct {
	Term       uint64  `json:"term"`
	WritesOK   float64 `json:"writes_ok"`
	GapMS      float64 `json:"gap_ms"`
	WorstGapMS float64 `json:"worst_gap_ms"`
}

// Rate is the rate and the burst of one client account, over the whole fleet.
type Rate struct {
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
}

// Vars are those metrics of one instance that the service-level objectives are computed
// from.
type Vars struct {
	Instance model.InstanceID            `json:"instance"`
	Accounts map[model.AccountID]Account `json:"accounts"`
	Services map[model.ServiceID]Service `json:"services"`
	Rates    map[model.AccountID]Rate    `json:"rates"`
}

// Snapshot holds the metrics of one instance at one time.
type Snapshot struct {
	// AtMS is the time of the snapshot, in milliseconds since the Unix epoch.
	AtMS int64 `json:"at_ms"`
	// Vars are the metrics.
	Vars Vars `json:"vars"`
}

// At returns the time of the snapshot.
func (s Snapshot) At() time.Time { return time.UnixMilli(s.AtMS) }

// decodeVars decodes the response of /debug/vars.
func decodeVars(r io.Reader) (Vars, error) {
	var all map[string]json.RawMessage
	if err := json.NewDecoder(r).Decode(&all); err != nil {
		return Vars{}, fmt.Errorf("decode metrics: %w", err)
	}
	text, ok := all[meter.Name]
	if !ok {
		return Vars{}, fmt.Errorf("decode metrics: variable %q is missing", meter.Name)
	}
	var vars Vars
	if err := json.Unmarshal(text, &vars); err != nil {
		return Vars{}, fmt.Errorf("decode metrics: variable %q: %w", meter.Name, err)
	}
	return vars, nil
}
