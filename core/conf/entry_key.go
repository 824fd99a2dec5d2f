package conf

// KeyEntry declares one key of a client account.
type KeyEntry struct {
	// SHA256 is the hash of the key in hexadecimal digits.
	SHA256 string `json:"sha256"`
	// Label is the operator's note about the key.
	Label string `json:"label,omitempty"`
	// Withdrawn says that the key no longer works. It is kept so that its bearer
	// is told so.
	Withdrawn bool `json:"withdrawn,omitempty"`
}
