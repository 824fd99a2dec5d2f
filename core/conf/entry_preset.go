package conf

// PresetEntry declares one preset.
type PresetEntry struct {
	// RatePercent scales the rate of every account.
	RatePercent int `json:"rate_percent"`
	// MaxAgePercent scales the age that aged reads accept. Absent means 100.
	MaxAgePercent *int `json:"max_age_percent,omitempty"`
	// MaxAgeMs replaces the age that aged reads accept, in milliseconds. Reads
	// that accept no age stay so.
	MaxAgeMs *int64 `json:"max_age_ms,omitempty"`
	// RefuseWrites refuses every request on a write route.
	RefuseWrites bool `json:"refuse_writes,omitempty"`
}
