package conf

// ChangeEntry records one accepted change. If the store's answer to a write was lost,
// the identifier recorded here shows whether the change took effect.
type ChangeEntry struct {
	// ID is the identifier that the operator's client chose.
	ID string `json:"id"`
	// Version is the version that the change made.
	Version uint64 `json:"version"`
	// Fingerprint distinguishes the change from a different one with the same identifier.
	Fingerprint string `json:"fingerprint"`
	// Operator is the name of the operator who made the change.
	Operator string `json:"operator"`
	// Kind is the JSON name of the change's operation, for example "set_limits".
	Kind string `json:"kind"`
	// AtMs is the time of the change in milliseconds since the Unix epoch.
	AtMs int64 `json:"at_ms"`
}
