package fair

import (
	"time"

	"pomelofork/core/model"
)

// FIFO serves items in the order in which they arrived, whatever their account. It is the
// baseline that RoundRobin is compared with.
type FIFO[T any] struct {
	config Config
	items  []Item[T]
	cost   cost
}

// NewFIFO returns an empty queue. Config.QueueLimit bounds the items of all accounts
// together, so for a comparison with RoundRobin it must be multiplied by the number of
// accounts.
func NewFIFO[T any](c Config) *FIFO[T] {
	return &FIFO[T]{config: c, cost: cost{mean: c.FirstCost}}
}

// Len returns the number of items that wait.
func (q *FIFO[T]) Len() int { return len(q.items) }

// Add queues an item, or refuses it when the queue is full or the item cannot be served
// before its deadline.
func (q *FIFO[T]) Add(now time.Time, item Item[T]) *model.Refusal {
	wait := q.cost.mean * time.Duration(len(q.items)) / time.Duration(max(1, q.config.Slots))
	if len(q.items) >= q.config.QueueLimit && !item.Urgent {
		return refuse(model.ReasonQueueFull, wait)
	}
	if !item.Deadline.IsZero() && now.Add(wait+q.cost.mean).After(item.Deadline) && !item.Urgent {
		return refuse(model.ReasonDeadline, wait)
	}
	item.queuedAt = now
	q.items = append(q.items, item)
	return nil
}

// Next removes and returns the oldest item that fits.
func (q *FIFO[T]) Next(_ time.Time, fits func(T) bool) (Item[T], bool) {
	for i := range q.items {
		if !fits(q.items[i].Value) {
			continue
		}
		item := q.items[i]
		q.items = append(q.items[:i], q.items[i+1:]...)
		return item, true
	}
	return Item[T]{}, false
}

// Remove removes an item whose caller stopped waiting. It returns false when none matches.
func (q *FIFO[T]) Remove(_ model.AccountID, matches func(T) bool) bool {
	for i := range q.items {
		if matches(q.items[i].Value) {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

// Charge adds a measurement to the mean cost of all items.
func (q *FIFO[T]) Charge(_ time.Time, _ Item[T], measured time.Duration) { q.cost.add(measured) }
