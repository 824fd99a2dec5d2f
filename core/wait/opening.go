package wait

import (
	"time"

	"pomelofork/core/model"
)

// openingWaitDivisor is the divisor of the time from an item's arrival to its target that gives how
// long the item waits for a connection of its account while other items can run. An opening takes
// about as long as a short statement, so it should serve several.
const openingWaitDivisor = 2

// openingShare is the part of the slots that openings use at most ahead of items that can run. If
// there are far fewer connections than accounts, each opening serves a single statement and closes a
// connection that another account needs next.
const openingShare = 0.1

// SetOpenings sets the number of running items that are openings of connections.
func (q *Queue[T]) SetOpenings(openings int) { q.openings = openings }

// ObserveOpening updates the cost of opening a connection, and charges the account for which it was
// opened.
func (q *Queue[T]) ObserveOpening(now time.Time, priority int, account model.AccountID, took time.Duration) {
	if q.openingCost == 0 {
		q.openingCost = took
	} else {
		q.openingCost += time.Duration(costWeight * float64(took-q.openingCost))
	}
	q.openingWork.Add(now, loadWindow, took.Seconds())
	if f, ok := q.flows.byKey[flowKey{boundedPriority(priority), account}]; ok {
		f.tag += took.Seconds() / f.weight
	}
}

// OpeningCost returns the mean time for which opening a connection holds a slot.
func (q *Queue[T]) OpeningCost() time.Duration {
	if q.openingCost == 0 {
		return firstCost
	}
	return q.openingCost
}

// WorthOpening reports whether the last of an account's waiting items would wait longer for one of
// the account's connections, which are at work or being opened, than for another connection.
func (q *Queue[T]) WorthOpening(class string, waiting, connections int) bool {
	if connections == 0 {
		return true
	}
	// The connections are halfway through their present work on average.
	wait := q.Cost(class) * time.Duration(2*waiting-1) / time.Duration(2*connections)
	return wait > q.OpeningCost()
}

// OpeningDue reports whether an item without a connection has waited so long that one has to be
// opened although other items can run, and whether recent openings leave slot time for that.
func (q *Queue[T]) OpeningDue(now, received time.Time, item Item[T]) bool {
	return !now.Before(received.Add(item.Target.Sub(received)/openingWaitDivisor)) &&
		q.openingWork.Value(now, loadWindow) < openingShare*float64(q.slots)*loadWindow.Seconds()
}

// Peek returns the item that Next would return.
func (q *Queue[T]) Peek(now time.Time, fits func(Item[T]) bool) (Item[T], bool) {
	if best := q.first(now, fits); best >= 0 {
		return q.items[best], true
	}
	var none Item[T]
	return none, false
}

// first returns the index of the first item that fits, or -1.
func (q *Queue[T]) first(now time.Time, fits func(Item[T]) bool) int {
	best := -1
	for i := range q.items {
		if (best < 0 || q.before(now, q.items[i], q.items[best])) && fits(q.items[i]) {
			best = i
		}
	}
	return best
}
