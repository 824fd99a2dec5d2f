package fair

import (
	"time"

	"pomelofork/core/model"
)

// Item is one statement or transaction that waits for a slot.
type Item[T any] struct {
	// Account is the client account that is charged for the slot time.
	Account model.AccountID
	// Deadline is the time after which the item is no longer of use. Zero means never.
	Deadline time.Time
	// Urgent says that the item belongs to an open transaction, which already holds a
	// connection. It goes ahead of the other items of its account, and is never refused.
	Urgent bool
	// Value is returned to the owner of the queue unchanged.
	Value T

	estimate time.Duration
	queuedAt time.Time
}

// QueuedAt returns when the item was added to the queue.
func (i Item[T]) QueuedAt() time.Time { return i.queuedAt }
