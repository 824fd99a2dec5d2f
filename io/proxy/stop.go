package proxy

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"pomelofork/core/drain"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
)

// stopCheckInterval is the interval at which Stop checks what is still open.
const stopCheckInterval = 20 * time.Millisecond

// Stop lets callers finish, releases the rights of this instance, and returns when the process may end. It
// returns before the grace is over, also if sessions are still open. What is admitted until then, and
// what callers and other instances are told, follows core/drain.Stop.
func (n *Node) Stop(ctx context.Context) {
	began := clock.Now()
	schedule := drain.NewStop(drain.StopConfig{Began: began, Grace: n.config.Grace})
	n.logStop(ctx, "stopping", slog.Duration("grace", n.config.Grace))
	n.entry.Stop(schedule)
	n.follow(schedule)
	left := make(chan struct{})
	// The store may take long to answer, or not answer at all.
	go func() {
		defer close(left)
		n.leave(ctx, schedule)
	}()
	for !schedule.Over(clock.Now()) {
		if schedule.Idle(clock.Now()) {
			n.entry.Drain()
			if closed(left) && n.entry.Quiet(clock.Now()) && n.idle() {
				break
			}
		}
		time.Sleep(stopCheckInterval)
	}
	n.logStop(ctx, "ending", slog.Duration("after", clock.Now().Sub(began)))
	n.finish(schedule)
	n.logStop(ctx, "stopped", slog.Duration("took", clock.Now().Sub(began)))
}

// leave gives up the rights and the registration of this instance. Without a registration it has no permit to
// use primaries, and the answers of those to its work can't be passed on. So the work for primaries that runs
// here ends first, and other instances run what is new.
func (n *Node) leave(ctx context.Context, schedule drain.Stop) {
	passedOn := false
	for {
		transactions, statements := n.primaryWork()
		if !passedOn && schedule.PassesOn(clock.Now(), transactions) {
			passedOn = true
			n.mu.Lock()
			n.passedOn = true
			n.mu.Unlock()
			for _, pool := range n.openPools() {
				pool.PassOnPrimary()
			}
			continue
		}
		if passedOn && schedule.Leaves(clock.Now(), transactions, statements) {
			break
		}
		time.Sleep(stopCheckInterval)
	}
	n.logStop(ctx, "leaving the fleet")
	n.rights.Leave(ctx)
}

// primaryWork returns the numbers of transactions and of other statements that this instance runs at primaries.
func (n *Node) primaryWork() (transactions, statements int) {
	for _, pool := range n.openPools() {
		t, s := pool.PrimaryWork()
		transactions, statements = transactions+t, statements+s
	}
	return transactions, statements
}

// passesTransactionOn reports whether another instance is to run the transaction that an order begins, because
// this one is stopping.
func (n *Node) passesTransactionOn(now time.Time, order *stmt.Order, server plan.Server) bool {
	n.mu.Lock()
	stopping := n.schedule.Active()
	n.mu.Unlock()
	return stopping && order.Begin == stmt.OpBegin && slices.ContainsFunc(primaryHolders(n.holders(server)), func(inst plan.Instance) bool {
		return inst.ID != n.config.Self.ID && n.peer(inst).Reachable(now)
	})
}

// finish ends what is left of the work: new orders and sessions are refused, and the callers of open sessions
// are told. It returns once all answers are on their way, or when the instance has to end. Calls to other
// instances without an answer are given up shortly before that.
func (n *Node) finish(schedule drain.Stop) {
	n.follow(schedule.Finished())
	n.entry.Finish()
	for gaveUp := false; !schedule.Ended(clock.Now()) && (!n.entry.Quiet(clock.Now()) || !n.idle()); {
		if !gaveUp && schedule.GivesUp(clock.Now()) {
			close(n.ending)
			gaveUp = true
		}
		time.Sleep(stopCheckInterval)
		n.entry.Finish()
	}
}

// follow makes the connection pools follow a schedule, also those that are opened later.
func (n *Node) follow(schedule drain.Stop) {
	n.mu.Lock()
	n.schedule = schedule
	n.mu.Unlock()
	for _, pool := range n.openPools() {
		pool.Stop(schedule)
	}
}

// idle reports whether no statement waits or runs in the connection pools, and all orders of other instances
// are answered.
func (n *Node) idle() bool {
	if n.answering.Load() > 0 {
		return false
	}
	for _, pool := range n.openPools() {
		if !pool.Idle() {
			return false
		}
	}
	return true
}

// logStop logs a phase of the planned stop with what is open.
func (n *Node) logStop(ctx context.Context, phase string, attrs ...slog.Attr) {
	work, counts := n.entry.Work(), n.entry.StopCounts()
	attrs = append(attrs, slog.Int("sessions", n.entry.Sessions()), slog.Int("serving", work.Serving), slog.Int("in_transaction", work.InTransaction),
		slog.Int64("orders", n.answering.Load()), slog.Int64("refused", counts.Refused), slog.Int64("notified", counts.Notified))
	n.config.Log.LogAttrs(ctx, slog.LevelInfo, phase, attrs...)
}

// closed reports whether a channel is closed.
func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
