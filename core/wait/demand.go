package wait

import (
	"time"

	"pomelofork/core/line"
)

// demand is what arrives at one priority.
type demand struct {
	// onTime and late are the slot seconds of the queued items over loadWindow: of those that could
	// meet their target when they arrived, and of those that wait in the gaps.
	onTime, late line.Sum
	// refused is the line of refused callers, in slot seconds.
	refused line.Line
}

// demand returns the demand of a priority.
func (q *Queue[T]) demand(priority int) *demand {
	d, ok := q.demands[priority]
	if !ok {
		d = &demand{}
		q.demands[priority] = d
	}
	return d
}

// urgentRate returns the slot seconds per second at which work of other priorities arrives that goes
// before items of the priority: that of higher ones, and before late items also what can meet its
// target.
func (q *Queue[T]) urgentRate(now time.Time, priority int, late bool) float64 {
	sum := 0.0
	for p, d := range q.demands {
		if p < priority || (late && p > priority) {
			sum += d.onTime.Value(now, loadWindow)
		}
		if p < priority && late {
			sum += d.late.Value(now, loadWindow)
		}
	}
	return sum / loadWindow.Seconds()
}

// ownRate returns the slot seconds per second at which work of the item's priority arrives that can
// meet its target. What the item's account sent in the last second and waits still, of the given
// slot seconds, doesn't count: a burst isn't a rate.
func (q *Queue[T]) ownRate(now time.Time, item Item[T], waiting float64) float64 {
	burst := min(waiting, item.flow.onTime.Value(now, loadWindow))
	return (q.demand(item.Priority).onTime.Value(now, loadWindow) - burst) / loadWindow.Seconds()
}
