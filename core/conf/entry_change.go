package conf

// ChangeEntry records one accepted change. A lost answer is resolved by looking
// for the change's identifier here.
type ChangeEntry struct {
	// ID is the identifier that the operator's client chose.
	ID string `json:"id"`
	// Version is the version that the change made.
	Version uint64 `json:"version"`
	// Fingerprint tells another change under the same identifier apart.
	Fingerprint string `json:"fingerprint"`
	// Operator is who made the change.
	Operator string `json:"operator"`
	// Kind says what was changed.
	Kind string `json:"kind"`
	// AtMs is when the change was made, in milliseconds of Unix time.
	AtMs int64 `json:"at_ms"`
}
