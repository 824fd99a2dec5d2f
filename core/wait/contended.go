package wait

import (
	"maps"
	"slices"
	"time"

	"pomelofork/core/stmt"
)

const (
	// maxItems and maxBytes are the limits of what waits at a server where callers compete for it.
	// They hold some seconds of work of a server, and keep a gateway of several servers within the
	// memory of an instance.
	maxItems = 2048
	maxBytes = 2 << 20
	// checkInterval is the time between two checks of the waiting items in the order of service. It
	// is the time of about one statement, and bounds the work of the checks under load.
	checkInterval = 10 * time.Millisecond
	// retryHorizon is the time within which a retry has to be served, in timeouts of the statement:
	// one for the attempt that was refused, and one for the retry.
	retryHorizon = 2
	// maxPriorities is the number of priorities for which the demand is measured. Items of others
	// count for the last of them.
	maxPriorities = 16
)

// boundedPriority returns the priority for which the demand and the flows are kept.
func boundedPriority(priority int) int { return min(max(priority, 0), maxPriorities-1) }

// shared reports whether accounts have shares.
func (q *Queue[T]) shared() bool { return q.policy.Contended && !q.policy.EqualAccounts }

// Ended charges the account of an item that Next returned the slot time that the item used beyond
// what was expected.
func (q *Queue[T]) Ended(item Item[T], took time.Duration) {
	if item.flow != nil {
		item.flow.tag += (took - item.charged).Seconds() / item.flow.weight
	}
}

// left updates the counts for an item that no longer waits.
func (q *Queue[T]) left(item Item[T]) {
	if item.flow != nil {
		item.flow.waiting--
		q.bytes -= item.Bytes
	}
}

// addContended implements Add where callers compete for the server.
func (q *Queue[T]) addContended(now time.Time, item Item[T], running int) (Refusal, bool) {
	item.Priority = boundedPriority(item.Priority)
	item.flow = q.flows.of(item.key(), item.Weight)
	if item.Account == "" {
		item.flow.weight = q.flows.weightOfOthers(item.key())
	}
	late := q.late(now, item)
	if !item.InTransaction && !q.policy.AcceptAll {
		cost := q.Cost(item.Class)
		onTime := !late && q.startsWithin(now, item, running, item.Target.Add(-cost).Sub(now))
		if !onTime && !q.startsInGaps(now, item, running) {
			return q.refuse(now, item, running), false
		}
		late = !onTime
	}
	cost := q.Cost(item.Class).Seconds()
	if late {
		q.demand(item.Priority).late.Add(now, loadWindow, cost)
	} else {
		q.demand(item.Priority).onTime.Add(now, loadWindow, cost)
		item.flow.onTime.Add(now, loadWindow, cost)
	}
	q.flows.queued(item.key(), item.flow, q.Cost(item.Class))
	q.bytes += item.Bytes
	q.items = append(q.items, item)
	if !q.makeRoom(now) {
		return q.refuse(now, item, running), false
	}
	return Refusal{}, true
}

// makeRoom displaces the items that go last until the queue is within its limits. It returns false
// if the item that was added last is one of them.
func (q *Queue[T]) makeRoom(now time.Time) bool {
	for len(q.items) > maxItems || (q.bytes > maxBytes && len(q.items) > 1) {
		last := len(q.items) - 1
		for i := range q.items {
			if q.before(now, q.items[last], q.items[i]) {
				last = i
			}
		}
		removed := q.items[last]
		if removed.InTransaction {
			return true
		}
		q.left(removed)
		added := last == len(q.items)-1
		q.items = slices.Delete(q.items, last, last+1)
		if added {
			return false
		}
		q.displaced = append(q.displaced, removed)
	}
	return true
}

// latestStart returns the latest time at which an item can start to be done before its deadline.
func (q *Queue[T]) latestStart(item Item[T]) time.Time {
	return item.Deadline.Add(-time.Duration(timeLeftFactor * float64(q.Cost(item.Class))))
}

// startsInGaps reports whether an item that can't meet its target is expected to start in time for
// its deadline.
func (q *Queue[T]) startsInGaps(now time.Time, item Item[T], running int) bool {
	latest := q.latestStart(item)
	if q.policy.TargetWait && running >= q.slots {
		soon := item.Target.Add(time.Duration(latePart*float64(item.Deadline.Sub(item.Target))) - q.Cost(item.Class))
		if soon.Before(latest) {
			latest = soon
		}
	}
	// From its target on, the item is a late one.
	item.Target = now
	return q.startsWithin(now, item, running, latest.Sub(now))
}

// startsWithin reports whether a new item is expected to start within the given time.
func (q *Queue[T]) startsWithin(now time.Time, item Item[T], running int, within time.Duration) bool {
	if within < 0 {
		return false
	}
	if running < q.slots && len(q.items) == 0 {
		return true
	}
	return q.aheadWithin(now, item, running, within) <= within.Seconds()*float64(q.slots)
}

// aheadWithin returns the slot seconds that are expected to be used, within the given time, before
// a new item starts that waits that long: for running and waiting items that go before it, and for
// more urgent ones that arrive until then.
func (q *Queue[T]) aheadWithin(now time.Time, item Item[T], running int, within time.Duration) float64 {
	late := q.late(now, item)
	sum := q.runningWork(running) + q.urgentRate(now, item.Priority, late)*within.Seconds()
	for _, f := range q.flows.byKey {
		f.others = 0
	}
	own, onTime := 0.0, 0.0
	for i := range q.items {
		other := &q.items[i]
		cost := q.Cost(other.Class).Seconds()
		otherLate := q.late(now, *other)
		switch {
		case other.InTransaction:
			sum += cost
		case late != otherLate:
			if late {
				sum += cost
			}
			if late && other.flow == item.flow {
				onTime += cost
			}
		case other.Priority != item.Priority:
			if other.Priority < item.Priority {
				sum += cost
			}
		case !q.shared():
			if !item.Target.Before(other.Target) {
				sum += cost
			}
		case other.flow == item.flow:
			if !item.Target.Before(other.Target) {
				own += cost
			}
		default:
			other.flow.others += cost
		}
	}
	if late {
		sum += q.ownRate(now, item, onTime) * within.Seconds()
	}
	if !q.shared() {
		return sum
	}
	return sum + own + q.othersBefore(now, item, own, within, late)
}

// othersBefore returns the slot seconds that other accounts of the item's priority use before it:
// what they have waiting and send within the given time, but no more than what brings their start
// tag to that of the item.
func (q *Queue[T]) othersBefore(now time.Time, item Item[T], own float64, within time.Duration, late bool) float64 {
	cost := q.Cost(item.Class)
	tag := item.flow.tag
	if item.flow.waiting == 0 {
		tag = q.flows.resumes(item.key(), item.flow, cost)
	}
	tag += own / item.flow.weight
	sum := 0.0
	for key, f := range q.flows.byKey {
		if key.priority != item.Priority || f == item.flow {
			continue
		}
		work := f.others
		if !late {
			work += f.onTime.Value(now, loadWindow) / loadWindow.Seconds() * within.Seconds()
		}
		start := f.tag
		if f.waiting == 0 {
			start = q.flows.resumes(key, f, cost)
		}
		sum += min(work, max(tag-start, 0)*f.weight)
	}
	return sum
}

// runningWork returns the slot seconds that running items, which are halfway through on average,
// still need before a slot is free.
func (q *Queue[T]) runningWork(running int) float64 {
	if running < q.slots {
		return 0
	}
	openings := min(q.openings, running)
	return (time.Duration(running-openings)*q.meanCost() + time.Duration(openings)*q.OpeningCost()).Seconds() / 2
}

// spareRate returns the slot seconds per second that the demand of the priority and of higher ones
// leaves.
func (q *Queue[T]) spareRate(now time.Time, priority int) float64 {
	used := 0.0
	for p, d := range q.demands {
		if p <= priority {
			used += d.onTime.Value(now, loadWindow) + d.late.Value(now, loadWindow)
		}
	}
	return max(float64(q.slots)-used/loadWindow.Seconds(), minSpare*float64(q.slots))
}

// refuse returns the refusal of an item.
func (q *Queue[T]) refuse(now time.Time, item Item[T], running int) Refusal {
	within := max(q.latestStart(item).Sub(now), 0)
	ahead := q.aheadWithin(now, item, running, within)
	excess := ahead/float64(q.slots) - within.Seconds()
	refusal := Refusal{Wait: time.Duration(ahead / float64(q.slots) * float64(time.Second))}
	first := min(max(time.Duration(excess*float64(time.Second)), minRetry), maxRetry)
	if q.policy.EqualReturn {
		refusal.RetryAfter = first
		return refusal
	}
	refusal.RetryAfter, refusal.Hopeless = q.returnAfter(now, item, first)
	return refusal
}

// returnAfter gives a refused caller a place in the line of its priority, behind the lines of higher
// priorities.
func (q *Queue[T]) returnAfter(now time.Time, item Item[T], first time.Duration) (after time.Duration, hopeless bool) {
	rate := q.spareRate(now, item.Priority)
	for p, d := range q.demands {
		if p < item.Priority {
			first += time.Duration(d.refused.Length(now, q.spareRate(now, p)) / rate * float64(time.Second))
		}
	}
	limit := time.Duration(retryHorizon * float64(item.Deadline.Sub(now)))
	after, ok := q.demand(item.Priority).refused.Take(now, rate, q.Cost(item.Class).Seconds(), first, limit)
	return after, !ok
}

// RefusalOf returns the refusal of an item that RemoveUnservable returned.
func (q *Queue[T]) RefusalOf(now time.Time, item Item[T], running int) Refusal {
	if !q.policy.Contended {
		return Refusal{RetryAfter: q.EstimateWait(running)}
	}
	return q.refuse(now, item, running)
}

// removeUnservableContended implements RemoveUnservable where callers compete for the server. It
// goes through the items in the order of service.
func (q *Queue[T]) removeUnservableContended(now time.Time) []Item[T] {
	removed := q.displaced
	q.displaced = nil
	if len(q.items) == 0 || now.Sub(q.checkedAt) < checkInterval {
		return removed
	}
	q.checkedAt = now
	unservable := make([]bool, len(q.items))
	ahead := 0.0
	type group struct {
		priority int
		late     bool
	}
	rates := map[group]float64{}
	for _, i := range q.serviceOrder(now) {
		item := q.items[i]
		late := q.late(now, item)
		key := group{item.Priority, late}
		rate, ok := rates[key]
		if !ok {
			urgent := q.urgentRate(now, item.Priority, late)
			if late {
				urgent += q.demand(item.Priority).onTime.Value(now, loadWindow) / loadWindow.Seconds()
			}
			rate = max(float64(q.slots)-urgent, minSpare*float64(q.slots))
			rates[key] = rate
		}
		start := now
		if !item.InTransaction {
			start = start.Add(time.Duration(ahead / rate * float64(time.Second)))
		}
		if start.After(q.latestStart(item)) {
			unservable[i] = true
			continue
		}
		ahead += q.Cost(item.Class).Seconds()
	}
	kept := q.items[:0]
	for i, item := range q.items {
		if !unservable[i] {
			kept = append(kept, item)
			continue
		}
		q.left(item)
		removed = append(removed, item)
	}
	clear(q.items[len(kept):])
	q.items = kept
	return removed
}

// serviceOrder returns the indexes of the items in the order in which they would be served if no
// other arrived.
func (q *Queue[T]) serviceOrder(now time.Time) []int {
	order := make([]int, len(q.items))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		// Within a flow the order is that of before; between flows the tags decide below.
		return q.compare(now, q.items[a], q.items[b], 0, 0)
	})
	if !q.shared() {
		return order
	}
	for _, f := range q.flows.byKey {
		f.ahead = f.tag
	}
	tags := make([]float64, len(q.items))
	for _, i := range order {
		item := &q.items[i]
		tags[i] = item.flow.ahead
		item.flow.ahead += q.Cost(item.Class).Seconds() / item.flow.weight
	}
	slices.SortStableFunc(order, func(a, b int) int { return q.compare(now, q.items[a], q.items[b], tags[a], tags[b]) })
	return order
}

// compare orders two items by everything but the present tags of their flows, which are given.
func (q *Queue[T]) compare(now time.Time, a, b Item[T], tagA, tagB float64) int {
	same := a
	same.flow = b.flow
	if tagA != tagB && a.InTransaction == b.InTransaction && a.Priority == b.Priority && q.late(now, a) == q.late(now, b) {
		if tagA < tagB {
			return -1
		}
		return 1
	}
	switch {
	case q.before(now, same, b):
		return -1
	case q.before(now, b, same):
		return 1
	default:
		return 0
	}
}

// Waits returns the time that a new item of each priority seen so far would wait if it can meet its
// target, lowest number first.
func (q *Queue[T]) Waits(now time.Time, running int) []stmt.PriorityWait {
	if !q.policy.Contended {
		return nil
	}
	ahead := q.runningWork(running)
	work := map[int]float64{}
	for _, i := range q.items {
		switch cost := q.Cost(i.Class).Seconds(); {
		case i.InTransaction:
			ahead += cost
		case !q.late(now, i):
			work[i.Priority] += cost
		}
	}
	waits := make([]stmt.PriorityWait, 0, len(q.demands))
	for _, p := range slices.Sorted(maps.Keys(q.demands)) {
		ahead += work[p]
		rate := max(float64(q.slots)-q.urgentRate(now, p, false), minSpare*float64(q.slots))
		waits = append(waits, stmt.PriorityWait{Priority: p, Wait: time.Duration(ahead / rate * float64(time.Second))})
	}
	return waits
}
