package store

import (
	"context"
	"time"
)

// MaxValueBytes is the size limit of one value.
const MaxValueBytes = 1 << 20

// Store is the platform's key-value service with changes of one key at a time, and its
// list of instances.
//
// A call that reads returns an error that wraps ErrUnavailable when there is no answer. A
// call that changes something returns ErrUnavailable only when the change has certainly
// not taken effect, and *UnknownError when it may have.
type Store interface {
	// Get returns the item under key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all items whose key starts with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Item, error)
	// Swap replaces, creates or deletes one item if it has the expected revision, and
	// returns the item as it is afterwards. Otherwise it returns a *ConflictError with the
	// current revision.
	Swap(ctx context.Context, swap Swap) (Item, error)
	// Watch waits until the revision of key is greater than afterRevision. It returns
	// false if that has not happened within wait.
	Watch(ctx context.Context, key string, afterRevision uint64, wait time.Duration) (Item, bool, error)
	// Instances returns the platform's list of instances. The list lags behind the actual
	// state. An entry that can't be read has nothing but its ID. If it has none either, the
	// error is ErrUnreadableInstance, and the other entries are returned.
	Instances(ctx context.Context) ([]ListedInstance, error)
	// GrantLease returns a new lease. Items written with it are removed when it ends.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease restarts the lease's time to live, or returns ErrNotFound.
	RenewLease(ctx context.Context, id LeaseID) error
	// EndLease ends the lease at once, or returns ErrNotFound.
	EndLease(ctx context.Context, id LeaseID) error
}
