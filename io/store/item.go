package store

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// Item is one value under its key. It is a message of the platform's protocol, so its
// fields are exported.
type Item struct {
	// Key is the name under which the item is stored.
	Key string `json:"key"`
	// Value is the text, of at most MaxValueBytes.
	Value string `json:"value"`
	// Revision is the revision of the item's last change. It grows with each change
	// anywhere in the store. Zero means that the key is absent.
	Revision uint64 `json:"revision"`
	// LeaseID is the lease at whose end the item is removed, or zero.
	LeaseID LeaseID `json:"lease_id,omitempty"`
}
