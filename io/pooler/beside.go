package pooler

import (
	"time"

	"pomelofork/core/stmt"
	"pomelofork/core/trial"
)

// besideFactor is the number of priorities of the queue for each priority of statements. The second one is
// for reads that a primary runs beside its own work.
const besideFactor = 2

// queuePriority returns the priority of an order in the queue. Where callers compete for a primary, reads
// that another server could run go after the work of their priority that only the primary can run: while
// replicas lag, the reads have another place to go to soon, and the writes have none.
func (p *Pool) queuePriority(order *stmt.Order) int {
	if !p.separatesReads() {
		return order.Priority
	}
	priority := besideFactor * order.Priority
	if p.server.Primary && order.AnyServerMayBegin() {
		priority++
	}
	return priority
}

// separatesReads reports whether reads have priorities of their own.
func (p *Pool) separatesReads() bool { return p.contended && !p.disabled.Has(trial.PrimaryRoom) }

// reportedWaits returns the time that a new statement of each priority would wait, lowest number first. For
// a primary these are the waits of the work that only it can run.
func (p *Pool) reportedWaits(now time.Time) []stmt.PriorityWait {
	waits := p.queue.Waits(now, p.running)
	if !p.separatesReads() {
		return waits
	}
	own := make([]stmt.PriorityWait, 0, len(waits))
	wait := time.Duration(0)
	for _, w := range waits {
		priority := w.Priority / besideFactor
		if w.Priority%besideFactor == 0 {
			wait = w.Wait
		} else if len(own) > 0 && own[len(own)-1].Priority == priority {
			continue
		}
		// Where only reads of a priority have come, its own work waits at least as long as that of the
		// priority above.
		own = append(own, stmt.PriorityWait{Priority: priority, Wait: wait})
	}
	return own
}
