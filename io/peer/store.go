package peer

import "context"

// Item is one value of the platform's key-value service. The zero Item means that the key
// is absent.
type Item struct {
	// Value is the text. It is empty when the key is absent.
	Value string
	// Revision is the revision of the item's last change. Zero means that the key is
	// absent.
	Revision uint64
}

// Store is the part of the platform's key-value service that a fleet uses.
type Store interface {
	// Get returns the item under key, or the zero Item when the key is absent. It returns
	// an error when the store did not answer.
	Get(ctx context.Context, key string) (Item, error)
	// Newer reports whether the item under key has a newer revision than the given one,
	// without transferring its value.
	Newer(ctx context.Context, key string, revision uint64) (bool, error)
	// Swap replaces the item if its revision is the expected one; zero means that the key
	// must be absent. It returns the new revision. After an error the change may or may
	// not have taken effect, so the fleet always reads the key again.
	Swap(ctx context.Context, key string, expectedRevision uint64, value string) (revision uint64, err error)
}
