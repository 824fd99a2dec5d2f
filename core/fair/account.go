package fair

import (
	"time"

	"pomelofork/core/model"
)

// account is the queue of one client account and its credit of slot time.
type account[T any] struct {
	id    model.AccountID
	items []Item[T]
	// credit is the slot time that the account may still use. It is negative when the
	// account has overdrawn it.
	credit time.Duration
	// round is the round up to which credit has been refilled.
	round uint64
	cost  cost
	// running is the number of items that Next returned and Charge was not yet called for.
	running int
}

// push appends an item to the queue. An urgent item goes behind the last urgent one
// instead, ahead of all others.
func (a *account[T]) push(item Item[T]) {
	at := len(a.items)
	if item.Urgent {
		for at = 0; at < len(a.items) && a.items[at].Urgent; at++ {
			continue
		}
	}
	a.items = append(a.items, item)
	copy(a.items[at+1:], a.items[at:])
	a.items[at] = item
}

// find returns the index of the first item that fits. It returns false when none does.
func (a *account[T]) find(fits func(T) bool) (int, bool) {
	for i := range a.items {
		if fits(a.items[i].Value) {
			return i, true
		}
	}
	return 0, false
}

// take removes and returns the item at the index.
func (a *account[T]) take(at int) Item[T] {
	item := a.items[at]
	a.items = append(a.items[:at], a.items[at+1:]...)
	return item
}
