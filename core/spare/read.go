package spare

import (
	"time"

	"pomelofork/core/model"
)

// Read is a read that a replica could run.
type Read[T any] struct {
	// Value is returned to the owner of the room unchanged.
	Value    T
	Priority int
	// Account is the client account whose share the read uses, and Weight the account's weight.
	Account model.AccountID
	Weight  float64
	// Work is its expected time in a slot.
	Work time.Duration
	// Target is the time by which it should be answered, and Deadline when its timeout expires.
	Target, Deadline time.Time
}

// late reports whether the read can no longer meet its target.
func (r *Read[T]) late(now time.Time) bool { return now.Add(r.Work).After(r.Target) }

// key returns the key of the read's share.
func (r *Read[T]) key() shareKey { return shareKey{r.Priority, r.Account} }
