package conf

// KeyEntry declares one key of a client account.
type KeyEntry struct {
	// SHA256 is the SHA-256 hash of the key in lower-case hexadecimal digits.
	SHA256 string `json:"sha256"`
	// Label is the operator's note about the key.
	Label string `json:"label,omitempty"`
	// Withdrawn says that the key is no longer valid. The entry is kept so that callers
	// that use the key are told that it was withdrawn.
	Withdrawn bool `json:"withdrawn,omitempty"`
}
