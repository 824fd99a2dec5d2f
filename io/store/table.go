package store

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the store no longer has all changes after the requested
// revision. The caller has to list all items again.
var ErrCompacted = errors.New("store no longer has all changes after the requested revision")

// ErrConflict means that a condition of a transaction was not met. The transaction has
// changed nothing.
var ErrConflict = errors.New("condition of the transaction not met")

// MaxKeyBytes is the largest size of a key that the platform's store accepts, in bytes. A transaction with a
// longer one is refused as a whole.
const MaxKeyBytes = 200

// Condition is the revision that a transaction expects of one key.
type Condition struct {
	// Key is the key to check.
	Key string
	// Revision is the revision of the item's last change. Zero means that the key must be
	// absent.
	Revision uint64
}

// Put is one item that a transaction writes.
type Put struct {
	// Key is the key to write.
	Key string
	// Value is the new value.
	Value []byte
	// Lease is the lease at whose end the item is removed, or zero.
	Lease LeaseID
}

// Txn is a transaction. If all conditions are met, all its changes take effect, and
// otherwise none.
type Txn struct {
	// Era is the era of the store's history that the caller knows, on which it has decided to make
	// the change.
	Era uint64
	// Expected are the conditions.
	Expected []Condition
	// Puts are the items to write.
	Puts []Put
	// Deletes are the keys to remove.
	Deletes []string
}

// Entry is an item, or the removal of one.
type Entry struct {
	// Key is the key of the item.
	Key string
	// Value is the item's value.
	Value []byte
	// Revision is the revision of the item's last change, or of its removal.
	Revision uint64
	// Lease is the lease at whose end the item is removed, or zero.
	Lease LeaseID
	// Removed is true if the item was removed.
	Removed bool
}

// Lease is a lease as it was granted.
type Lease struct {
	// ID is the store's own number of the lease. It may be given out again in a later era.
	ID LeaseID
	// TTL is the actual time to live.
	TTL time.Duration
	// Era is the era in which the lease was granted.
	Era uint64
}

// Table is a key-value service with transactions over several keys, watches by prefix and
// leases.
//
// A call that reads returns an error that wraps ErrUnavailable when there is no answer. A
// call that changes something returns ErrUnavailable only when the change has certainly
// not taken effect, and *UnknownError when it may have or may still take effect.
type Table interface {
	// List returns the items whose keys start with prefix, and the revision to pass to
	// Changes as after.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Changes waits for changes after a revision to keys that start with prefix. It
	// returns them with the revision to pass as after in the next call. It returns no
	// entries if there was no change within wait, and ErrCompacted if the store no longer
	// has all changes after the revision.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error)
	// Commit makes a transaction and returns its revision. It returns ErrConflict if a
	// condition is not met, ErrNotFound if a lease has ended, and ErrRestored if the store is
	// in a later era than the caller knows.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew restarts a lease's time to live, or returns ErrNotFound. It returns ErrRestored for a
	// lease that was granted in a former era, as Commit and End do.
	Renew(ctx context.Context, id LeaseID) error
	// End ends a lease at once and removes its items, or returns ErrNotFound.
	End(ctx context.Context, id LeaseID) error
}
