package conf

// PresetEntry declares one preset: settings that operators switch together.
type PresetEntry struct {
	// RatePercent scales the rate of every account. 100 leaves it as declared.
	RatePercent int `json:"rate_percent"`
	// MaxAgePercent scales the age that read routes accept. Nil means 100.
	MaxAgePercent *int `json:"max_age_percent,omitempty"`
	// MaxAgeMs replaces the age that read routes accept, in milliseconds. Routes that
	// accept no age are not changed. Nil leaves the age of each route as declared. At most
	// one of MaxAgeMs and MaxAgePercent may be set.
	MaxAgeMs *int64 `json:"max_age_ms,omitempty"`
	// RefuseWrites says that every request on a write route is refused.
	RefuseWrites bool `json:"refuse_writes,omitempty"`
}
