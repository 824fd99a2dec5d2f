package pooler

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"pomelofork/core/drain"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/logs"
)

// stoppingText says why an instance that is stopping refuses an order.
const stoppingText = "instance of the server's connections is shutting down"

// usualCosts is the number of mean costs within which practically every statement of a class is answered.
const usualCosts = 8

// Stop makes the pool follow the schedule of a planned stop, for orders of this instance and of others.
// Statements in flight and queued ones get its deadline. Another call replaces the schedule.
func (p *Pool) Stop(schedule drain.Stop) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.schedule = schedule
	p.queue.Limit(schedule.Deadline())
	left := schedule.Deadline().Sub(clock.Now())
	for sc := range p.conns {
		e := sc.execution
		if e == nil || !schedule.Deadline().Before(p.answerDeadline(e)) {
			continue
		}
		e.request.deadline = schedule.Deadline()
		p.setDeadline(sc, left)
	}
}

// PrimaryWork returns the numbers of open transactions and of other statements that need the server as a
// primary.
func (p *Pool) PrimaryWork() (transactions, statements int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for sc := range p.conns {
		switch {
		case !sc.usesPrimary:
		case sc.tx != (txKey{}):
			transactions++
		case sc.execution != nil:
			statements++
		}
	}
	p.queue.Each(func(r *request) {
		if r.order.NeedsPrimary() {
			statements++
		}
	})
	return transactions, statements
}

// PassOnPrimary makes the pool refuse further work for a primary, which other instances run. Open transactions
// that have no statement in flight are rolled back.
func (p *Pool) PassOnPrimary() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passedOn = true
	p.queue.Remove(func(r *request) bool {
		if r.continuesTransaction() || !r.order.NeedsPrimary() {
			return false
		}
		r.result <- refused(stmt.CodeConnectionLost, stoppingText, 0)
		return true
	})
	for _, sc := range slices.Collect(maps.Values(p.transactions)) {
		if sc.usesPrimary && sc.execution == nil {
			p.discard(sc)
		}
	}
}

// allowed reports whether a request may still run here.
func (p *Pool) allowed(now time.Time, r *request) bool {
	if p.passedOn && (r.order.NeedsPrimary() || (r.continuesTransaction() && p.transactions[r.key].usesPrimary)) {
		return false
	}
	return p.schedule.Allows(now, stopWork(r), p.usual(r))
}

// answerDeadline returns the deadline of a connection for the statement in flight on it.
func (p *Pool) answerDeadline(e *execution) time.Time {
	if order := e.request.order; order.Reads() {
		return earlier(e.request.deadline, e.startedAt.Add(p.queue.AnswerTimeout(order.Class, readTimeout)))
	}
	return e.request.deadline
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// refuseStopping refuses a request if the schedule of a stop doesn't allow it. Nothing of it was sent. The
// transaction of a refused statement is rolled back.
func (p *Pool) refuseStopping(now time.Time, r *request) bool {
	if !p.schedule.Active() || r.order.Statement.Kind == stmt.KindRollback || p.allowed(now, r) {
		return false
	}
	p.log.LogAttrs(context.Background(), slog.LevelInfo, "statement not run, this instance is stopping", slog.String("request", logs.Shortened(r.order.Statement.ID)),
		slog.String("server", string(p.server.ID)), slog.Bool("in_transaction", r.continuesTransaction()))
	switch {
	case r.continuesTransaction():
		p.discard(p.transactions[r.key])
		r.result <- refused(stmt.CodeAborted, stoppingText, 0)
	case r.order.AnyServerMayRun():
		// Another server runs the read. This one isn't suspected of anything.
		r.result <- refused(stmt.CodeMoved, stoppingText, 0)
	default:
		// The entry tries another instance.
		r.result <- refused(stmt.CodeConnectionLost, stoppingText, 0)
	}
	return true
}

// stopWork returns the kind of work of a request.
func stopWork(r *request) drain.Work {
	switch {
	case r.continuesTransaction() && r.order.Statement.Kind == stmt.KindCommit:
		return drain.WorkCommit
	case r.continuesTransaction():
		return drain.WorkContinue
	case r.order.Unit != 0:
		return drain.WorkBegin
	default:
		return drain.WorkSingle
	}
}

// usual returns the time within which a request is usually answered. Nothing is known here of how long whole
// transactions take, so that one counts by its first statement.
func (p *Pool) usual(r *request) time.Duration {
	wait := time.Duration(0)
	if !r.continuesTransaction() {
		wait = p.queue.EstimateWait(p.running)
	}
	return min(wait+usualCosts*p.queue.Cost(r.order.Class), r.order.Timeout)
}

// endTransactions rolls back the transactions that have no statement in flight and whose commit would come
// too late. Their entries are told with the next statement.
func (p *Pool) endTransactions(now time.Time) {
	if !p.schedule.Active() || p.schedule.Allows(now, drain.WorkCommit, 0) {
		return
	}
	for _, sc := range slices.Collect(maps.Values(p.transactions)) {
		if sc.execution == nil {
			p.discard(sc)
		}
	}
}
