package wait

import (
	"slices"
	"time"

	"pomelofork/core/line"
	"pomelofork/core/model"
)

const (
	// costWeight is the weight of a new measurement in the moving average of a cost, so
	// that about the last ten count.
	costWeight = 0.1
	// firstCost is the cost assumed for a class until it is measured: a usual statement of
	// some milliseconds.
	firstCost = 10 * time.Millisecond
	// latePart is the part of the time between target and deadline for which a new
	// statement may have to wait beyond its target.
	latePart = 0.25
	// timeLeftFactor is the time that must be left until the deadline of a waiting item,
	// as a multiple of its cost. An item that is cut off while it runs has used a slot for
	// nothing, and the outcome of a write is then unknown.
	timeLeftFactor = 1.5
	// loadWindow is the time over which the slot time of on-time items is summed.
	loadWindow = time.Second
	// minSpare is the smallest part of the slots that counts as left for late items, so
	// that there is still an estimate for a queue at full load.
	minSpare = 0.05
	// minRetry and maxRetry are the limits of the time after which a refused caller is
	// told to retry.
	minRetry = 20 * time.Millisecond
	maxRetry = 2 * time.Second
)

// Item is one statement that waits.
type Item[T any] struct {
	// Value is returned to the owner of the queue unchanged.
	Value T
	// Class groups statements of similar cost.
	Class string
	// Priority orders the items; 0 goes first.
	Priority int
	// InTransaction says that the item continues an open transaction. It goes ahead of all
	// others, and is never refused.
	InTransaction bool
	// Target is the time by which the operation should be answered.
	Target time.Time
	// Deadline is when the timeout of the statement expires.
	Deadline time.Time
	// Account is the client account whose share the item uses, and Weight the account's weight.
	// Both count only where Policy.Contended is set.
	Account model.AccountID
	Weight  float64
	// Bytes is the size of the item.
	Bytes int

	flow *flow
	// charged is the slot time that the flow was charged when the item started.
	charged time.Duration
}

// key returns the key of the item's flow.
func (i *Item[T]) key() flowKey { return flowKey{i.Priority, i.Account} }

// Policy says what a Queue leaves out, to measure what it is worth.
type Policy struct {
	// ArrivalOrder serves the items in the order of their arrival.
	ArrivalOrder bool
	// AcceptAll queues also what can't be served in time.
	AcceptAll bool
	// Contended shares the slots among client accounts, and lets items wait in the gaps that more
	// urgent work leaves.
	Contended bool
	// EqualAccounts leaves out the shares of accounts from Contended.
	EqualAccounts bool
	// TargetWait leaves out the waiting in gaps from Contended.
	TargetWait bool
	// EqualReturn leaves out the line of refused callers from Contended.
	EqualReturn bool
}

// Queue holds the items that wait for one server. It is not safe for concurrent use.
type Queue[T any] struct {
	policy Policy
	slots  int
	items  []Item[T]
	costs  map[string]time.Duration
	// onTimeWork is the slot time, in seconds, of the items that started in about the last loadWindow
	// and could meet their target.
	onTimeWork line.Sum

	// The rest is used where policy.Contended is set.

	flows flows
	// demands are, by priority, what arrives and what is refused.
	demands map[int]*demand
	// bytes is the size of the waiting items.
	bytes int
	// displaced are the items that made room for more urgent ones.
	displaced []Item[T]
	// checkedAt is when the waiting items were last checked in the order of service.
	checkedAt time.Time
	// openings is the number of running items that are openings of connections, and openingCost the
	// mean time for which an opening holds a slot.
	openings    int
	openingCost time.Duration
	// openingWork is the slot seconds that openings used over loadWindow.
	openingWork line.Sum
}

// New returns an empty queue for a server with this number of slots, at least 1.
func New[T any](slots int) *Queue[T] { return NewWithPolicy[T](slots, Policy{}) }

// NewWithPolicy returns the same with a policy.
func NewWithPolicy[T any](slots int, policy Policy) *Queue[T] {
	return &Queue[T]{
		policy: policy, slots: max(slots, 1), costs: map[string]time.Duration{},
		flows: flows{byKey: map[flowKey]*flow{}, virtual: map[int]float64{}}, demands: map[int]*demand{},
	}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Limit shortens the deadlines of the waiting items to the given one.
func (q *Queue[T]) Limit(deadline time.Time) {
	for i := range q.items {
		if deadline.Before(q.items[i].Deadline) {
			q.items[i].Deadline = deadline
		}
	}
}

// Displaced returns the number of items that made room for others, and that RemoveUnservable returns next.
func (q *Queue[T]) Displaced() int { return len(q.displaced) }

// Cost returns the mean time for which an item of the class holds a slot.
func (q *Queue[T]) Cost(class string) time.Duration {
	if cost, ok := q.costs[class]; ok {
		return cost
	}
	return firstCost
}

// ObserveCost updates the cost of the class with the slot time of one statement.
func (q *Queue[T]) ObserveCost(class string, took time.Duration) {
	cost, ok := q.costs[class]
	if !ok {
		q.costs[class] = took
		return
	}
	q.costs[class] = cost + time.Duration(costWeight*float64(took-cost))
}

// EstimateWait returns the expected time until a new item could start, while the given
// number of items runs.
func (q *Queue[T]) EstimateWait(running int) time.Duration {
	if running < q.slots && len(q.items) == 0 {
		return 0
	}
	var ahead time.Duration
	for _, i := range q.items {
		ahead += q.Cost(i.Class)
	}
	// Running items are halfway through on average.
	ahead += time.Duration(running) * q.meanCost() / 2
	return ahead / time.Duration(q.slots)
}

// meanCost returns the mean of the costs of all classes.
func (q *Queue[T]) meanCost() time.Duration {
	if len(q.costs) == 0 {
		return firstCost
	}
	var sum time.Duration
	for _, c := range q.costs {
		sum += c
	}
	return sum / time.Duration(len(q.costs))
}

// Refusal says why an item was refused.
type Refusal struct {
	// Wait is the expected wait until the item could have started.
	Wait time.Duration
	// RetryAfter is the time after which the queue should be short enough.
	RetryAfter time.Duration
	// Hopeless says that a retry isn't expected to succeed in time either.
	Hopeless bool
}

// Add queues an item and returns true, or refuses it when it cannot be served in time. An
// item may be refused although it could meet its deadline: if it has to wait, it must be
// done soon after its target. running is the number of items that run.
func (q *Queue[T]) Add(now time.Time, item Item[T], running int) (Refusal, bool) {
	if q.policy.Contended {
		return q.addContended(now, item, running)
	}
	if !item.InTransaction && !q.policy.AcceptAll {
		cost := q.Cost(item.Class)
		ahead := q.aheadOf(now, item, running)
		latest := item.Deadline
		if ahead > 0 && item.Target.Before(item.Deadline) {
			latest = item.Target.Add(time.Duration(latePart * float64(item.Deadline.Sub(item.Target))))
		}
		if done := now.Add(ahead + cost); done.After(latest) {
			return Refusal{Wait: ahead, RetryAfter: min(max(done.Sub(latest), minRetry), maxRetry)}, false
		}
	}
	q.items = append(q.items, item)
	return Refusal{}, true
}

// aheadOf returns the expected time until the item could start, from the cost of the items
// that go before it.
func (q *Queue[T]) aheadOf(now time.Time, item Item[T], running int) time.Duration {
	sum := time.Duration(running) * q.meanCost() / 2
	if running < q.slots {
		sum = 0
	}
	for _, other := range q.items {
		// Of two equal items the one that arrived first goes first.
		if !q.before(now, item, other) {
			sum += q.Cost(other.Class)
		}
	}
	return sum / time.Duration(q.slots)
}

// late reports whether the item can no longer meet its target.
func (q *Queue[T]) late(now time.Time, i Item[T]) bool {
	return now.Add(q.Cost(i.Class)).After(i.Target)
}

// before reports whether a goes before b.
func (q *Queue[T]) before(now time.Time, a, b Item[T]) bool {
	if q.policy.ArrivalOrder {
		return false
	}
	if a.InTransaction != b.InTransaction {
		return a.InTransaction
	}
	if lateA, lateB := q.late(now, a), q.late(now, b); lateA != lateB {
		return lateB
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.flow != b.flow && q.shared() && a.flow.tag != b.flow.tag {
		return a.flow.tag < b.flow.tag
	}
	return a.Target.Before(b.Target)
}

// Next removes and returns the first item that fits. It returns false when none does.
func (q *Queue[T]) Next(now time.Time, fits func(T) bool) (Item[T], bool) {
	best := q.first(now, func(i Item[T]) bool { return fits(i.Value) })
	if best < 0 {
		var none Item[T]
		return none, false
	}
	item := q.items[best]
	q.items = slices.Delete(q.items, best, best+1)
	if q.policy.Contended {
		q.left(item)
		item.charged = q.Cost(item.Class)
		q.flows.started(item.key(), item.flow, item.charged)
	}
	if !q.late(now, item) {
		q.onTimeWork.Add(now, loadWindow, q.Cost(item.Class).Seconds())
	}
	return item, true
}

// spare returns the part of the slots that on-time items leave for late ones.
func (q *Queue[T]) spare(now time.Time) float64 {
	used := q.onTimeWork.Value(now, loadWindow) / (loadWindow.Seconds() * float64(q.slots))
	return max(1-used, minSpare)
}

// RemoveUnservable removes and returns the items that can no longer be served before their
// deadline. Late items run only in the slot time that on-time items leave free, so under
// load a late item is removed long before its deadline.
func (q *Queue[T]) RemoveUnservable(now time.Time) []Item[T] {
	if q.policy.Contended {
		return q.removeUnservableContended(now)
	}
	if len(q.items) == 0 {
		return nil
	}
	var ahead time.Duration
	for _, i := range q.items {
		if i.InTransaction || !q.late(now, i) {
			ahead += q.Cost(i.Class)
		}
	}
	spare := q.spare(now) * float64(q.slots)
	var removed []Item[T]
	q.items = slices.DeleteFunc(q.items, func(i Item[T]) bool {
		cost := q.Cost(i.Class)
		done := now.Add(time.Duration(timeLeftFactor * float64(cost)))
		if !i.InTransaction && q.late(now, i) {
			done = done.Add(time.Duration(float64(ahead) / spare))
		}
		if done.Before(i.Deadline) {
			if !i.InTransaction && q.late(now, i) {
				ahead += cost
			}
			return false
		}
		removed = append(removed, i)
		return true
	})
	return removed
}

// RemoveAll removes and returns every item.
func (q *Queue[T]) RemoveAll() []Item[T] {
	for _, i := range q.items {
		q.left(i)
	}
	removed := append(q.items, q.displaced...)
	q.items, q.displaced = nil, nil
	return removed
}

// Remove removes the items that match, also those that RemoveUnservable would return because they made
// room for others.
func (q *Queue[T]) Remove(match func(T) bool) {
	q.displaced = slices.DeleteFunc(q.displaced, func(i Item[T]) bool { return match(i.Value) })
	q.items = slices.DeleteFunc(q.items, func(i Item[T]) bool {
		if !match(i.Value) {
			return false
		}
		q.left(i)
		return true
	})
}

// Each calls visit with the value of every item, in the order of arrival.
func (q *Queue[T]) Each(visit func(T)) {
	for _, i := range q.items {
		visit(i.Value)
	}
}
