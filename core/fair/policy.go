package fair

import (
	"time"

	"pomelofork/core/model"
)

// Policy orders items that wait. Implementations are not safe for concurrent use.
type Policy[T any] interface {
	// Add lets an item wait, or refuses it at once. The refusal is nil when the
	// item waits now.
	Add(now time.Time, item Item[T]) *model.Refusal
	// Next removes and returns the item that is due next among those that fit. It
	// may also ask whether others fit, before and after the one that it returns.
	Next(now time.Time, fits func(T) bool) (Item[T], bool)
	// Remove takes out an item that gave up, and reports whether it waited.
	Remove(account model.AccountID, matches func(T) bool) bool
	// Charge replaces the estimated cost of an item, which Next charged, by the
	// time for which it held its slot.
	Charge(now time.Time, item Item[T], cost time.Duration)
	// Len returns the number of items that wait.
	Len() int
}
