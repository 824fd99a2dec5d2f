package fair

import (
	"time"

	"pomelofork/core/model"
)

// Policy orders the items that wait. Implementations are not safe for concurrent use.
type Policy[T any] interface {
	// Add queues an item and returns nil, or refuses it at once.
	Add(now time.Time, item Item[T]) *model.Refusal
	// Next removes and returns the item to serve next among those that fit. It may call
	// fits for any waiting items, in any order, also after it has found the one that it
	// returns.
	Next(now time.Time, fits func(T) bool) (Item[T], bool)
	// Remove removes an item whose caller stopped waiting, and reports whether it was in
	// the queue.
	Remove(account model.AccountID, matches func(T) bool) bool
	// Charge replaces the estimated cost of an item, which Next has charged, by the time
	// for which the item held its slot.
	Charge(now time.Time, item Item[T], cost time.Duration)
	// Len returns the number of items that wait.
	Len() int
}
