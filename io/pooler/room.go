package pooler

import (
	"context"
	"log/slog"
	"math"
	"time"

	"pomelofork/core/spare"
	"pomelofork/core/stmt"
	"pomelofork/core/trial"
)

// newRoom returns the room for the reads that stand aside, or nil if none do.
func newRoom(c Config) *spare.Room[*request] {
	if !c.Contended || c.Disabled.Has(trial.PrimaryRoom) {
		return nil
	}
	return spare.New[*request](c.Server.Slots)
}

// standAside lets a read that any server may run stand aside at a primary, or refuses it. It returns
// false for all other requests.
func (p *Pool) standAside(now time.Time, r *request) bool {
	if p.room == nil || !p.server.Primary || r.continuesTransaction() || !r.order.AnyServerMayBegin() {
		return false
	}
	after, ok := p.room.Add(now, spare.Read[*request]{
		Value: r, Priority: r.order.Priority, Account: r.order.Account, Weight: p.weight(r.order.Account), Work: p.queue.Cost(r.order.Class), Target: now.Add(r.order.Target), Deadline: r.deadline,
	})
	if !ok {
		p.refuseAside(now, r, after)
	}
	return true
}

// refuseAside refuses a read for the work that only the primary can run.
func (p *Pool) refuseAside(now time.Time, r *request, after time.Duration) {
	result := refused(stmt.CodeBusy, "primary takes no more reads of this priority", after)
	result.ClosedToReads = true
	result.Wait, result.Waits = p.queue.EstimateWait(p.running), p.queue.Waits(now, p.running)
	p.log.LogAttrs(context.Background(), slog.LevelInfo, "read refused for the work that only the primary can run", slog.String("request", r.order.Statement.ID),
		slog.String("server", string(p.server.ID)), slog.Int("priority", r.order.Priority), slog.Duration("after", after),
		slog.Int("running", p.running), slog.Int("waiting", p.queue.Len()), slog.Int("aside", p.aside()))
	r.result <- result
}

// admitAside refuses the reads that have stood aside for too long, and queues the next one if no own work
// of its priority waits. A slot must be free.
func (p *Pool) admitAside(now time.Time) {
	if p.aside() == 0 {
		return
	}
	for _, read := range p.room.RemoveUnservable(now) {
		p.refuseAside(now, read.Value, p.queue.EstimateWait(p.running)+asideReturnAfter)
	}
	first, reads := math.MaxInt, 0
	p.queue.Each(func(r *request) {
		if !r.continuesTransaction() && r.order.AnyServerMayBegin() {
			reads++
		}
		// What waits for a connection doesn't use the slot.
		if p.connFor(r) != nil {
			first = min(first, r.order.Priority)
		}
	})
	if reads >= p.server.Slots+extraStatements {
		return
	}
	if read, ok := p.room.Next(now, first); ok {
		p.queueRead(now, read)
	}
}

// queueAside queues all reads that stand aside, so that they share the fate of what is queued.
func (p *Pool) queueAside(now time.Time) {
	if p.room == nil {
		return
	}
	for _, read := range p.room.Remove(func(*request) bool { return true }) {
		p.queueRead(now, read)
	}
}

// queueRead queues a read that stood aside.
func (p *Pool) queueRead(now time.Time, read spare.Read[*request]) {
	read.Value.order.Target = read.Target.Sub(now)
	p.add(now, read.Value)
}

// dropAside removes a read that stands aside. It returns false if the request doesn't.
func (p *Pool) dropAside(r *request) bool {
	return p.room != nil && len(p.room.Remove(func(other *request) bool { return other == r })) > 0
}

// aside returns the number of reads that stand aside.
func (p *Pool) aside() int {
	if p.room == nil {
		return 0
	}
	return p.room.Len()
}

// asideReturnAfter is the shortest time after which the caller of a read is told to return that stood
// aside until its timeout: about the time in which a slot becomes free.
const asideReturnAfter = 20 * time.Millisecond
