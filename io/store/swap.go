package store

// Swap is one compare-and-swap. It is a message of the platform's protocol, so its fields
// are exported.
type Swap struct {
	// Key is the name under which the item is stored.
	Key string `json:"key"`
	// ExpectedRevision is the revision that the item must have. Zero means that the key
	// must be absent.
	ExpectedRevision uint64 `json:"expected_revision"`
	// Value is the new text, of at most MaxValueBytes.
	Value string `json:"value"`
	// LeaseID is the lease at whose end the item is removed, or zero.
	LeaseID LeaseID `json:"lease_id,omitempty"`
	// Delete removes the item; Value is then ignored.
	Delete bool `json:"delete,omitempty"`
}
