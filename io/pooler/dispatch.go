package pooler

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/ramp"
	"pomelofork/core/stmt"
	"pomelofork/io/logs"
)

// dispatch rejects the queued requests that can't be served in time, starts those that can
// run now, and opens connections for the others.
func (p *Pool) dispatch(now time.Time) {
	p.updateEvacuated(now)
	for _, item := range p.queue.RemoveUnservable(now) {
		p.count("unservable")
		item.Value.result <- p.refusedByQueue(now, "no free slot in time", p.queue.RefusalOf(now, item, p.running))
	}
	if p.contended {
		p.startContended(now)
		p.openContended(now)
		return
	}
	for p.running < p.server.Slots+extraStatements && p.queue.Len() > 0 {
		item, ok := p.queue.Next(now, func(r *request) bool { return p.fits(now, r) })
		if !ok {
			break
		}
		if refusal, ok := p.refuseStart(now, item.Value); ok {
			item.Value.result <- refusal
			continue
		}
		p.start(now, p.connFor(item.Value), item.Value)
	}
	p.openConns(now)
}

// connFor returns the connection on which a request can run now, or nil. Among idle
// connections of the account it prefers the one whose session values match best, then the
// one that was used last.
func (p *Pool) connFor(r *request) *serverConn {
	if r.continuesTransaction() {
		return p.transactions[r.key]
	}
	if !p.mayBegin(r) {
		return nil
	}
	var best *serverConn
	bestMatch := 0
	for sc := range p.conns {
		if !sc.idle() || sc.account != r.order.Account {
			continue
		}
		match := sc.matchingValues(r.order)
		if best == nil || match > bestMatch || (match == bestMatch && sc.idleFrom.After(best.idleFrom)) {
			best, bestMatch = sc, match
		}
	}
	return best
}

// mayBegin reports whether a request opens no transaction or may open one.
func (p *Pool) mayBegin(r *request) bool {
	return r.order.Begin == stmt.OpPass || len(p.transactions) < p.limit-p.limit/nonTransactionDivisor
}

// openConns opens connections for the accounts whose queued statements have too few to run
// on. Opening a connection takes a slot of the server for as long as a statement does, so
// an account waits for connections that it has outside of transactions, if these are as
// many as its queued statements or the server's slots.
func (p *Pool) openConns(now time.Time) {
	if p.evacuated || now.Before(p.nextOpen) || p.running >= p.server.Slots+extraStatements {
		return
	}
	waiting := map[model.AccountID]int{}
	var order []model.AccountID
	p.queue.Each(func(r *request) {
		if r.continuesTransaction() {
			return
		}
		if waiting[r.order.Account] == 0 {
			order = append(order, r.order.Account)
		}
		waiting[r.order.Account]++
	})
	for _, account := range order {
		if p.running >= p.server.Slots+extraStatements || !p.ramp.Allows(now, ramp.Bound, 1) {
			return
		}
		free := p.opening[account]
		for sc := range p.conns {
			if sc.account == account && sc.tx == (txKey{}) && sc.conn != nil {
				free++
			}
		}
		if free >= min(waiting[account], p.server.Slots) || !p.makeRoom(now, account) {
			continue
		}
		p.opening[account]++
		p.ramp.Send(now, 1)
		p.countRunning(now)
		sc := newServerConn(p, account)
		sc.openingSince = now
		p.conns[sc] = struct{}{}
	}
}

// makeRoom reports whether a connection may be opened for the account. At the limit, it
// closes the least useful connection of another account.
func (p *Pool) makeRoom(now time.Time, account model.AccountID) bool {
	limit := p.limit
	if now.Before(p.observedLimitUntil) {
		limit = min(limit, p.observedLimit)
	}
	if len(p.conns) < limit {
		return true
	}
	oldest := p.leastUseful(now, account)
	if oldest == nil {
		return false
	}
	p.discard(oldest)
	return true
}

// countRunning counts a statement that is sent, or a connection that is opened.
func (p *Pool) countRunning(now time.Time) {
	if p.running++; p.running == 1 {
		p.lastAnswer = now
	}
}

// start sends a request's setup commands on a connection, or its statement if it needs no
// setup. A rollback of a transaction with a statement in flight, or at a cold server that can take
// no more, closes the connection, which makes the server roll back.
func (p *Pool) start(now time.Time, sc *serverConn, r *request) {
	if r.order.Statement.Kind == stmt.KindRollback && (sc.execution != nil || !p.ramp.Allows(now, ramp.Open, 1)) {
		p.discard(sc)
		r.result <- stmt.Result{Answer: stmt.Answer{Code: stmt.CodeDone}}
		return
	}
	if !sc.takes(r.order) {
		r.result <- refused(stmt.CodeTooLarge, "prepared statements of the transaction are too large", 0)
		return
	}
	setup, main := sc.commands(r.order)
	if !r.continuesTransaction() {
		sc.usesPrimary, sc.epoch = r.order.NeedsPrimary(), r.order.Epoch
	}
	if r.order.Unit != 0 {
		sc.tx = r.key
		p.transactions[r.key] = sc
	}
	setupRest := 0
	if n := len(setup); n > 0 && (setup[n-1].Op == stmt.OpBegin || setup[n-1].Op == stmt.OpBeginRead) {
		setupRest = 1
	}
	sc.execution = &execution{request: r, setupLeft: len(setup), setupRest: setupRest, main: main, startedAt: now, sentAt: now}
	p.countRunning(now)
	p.setDeadline(sc, p.answerDeadline(sc.execution).Sub(now))
	if len(setup) > 0 {
		p.logPrepared(sc, r, setup)
		p.ramp.Send(now, len(setup))
		p.ramp.Reserve(len(main))
		sc.execution.reserved = len(main)
		p.send(sc, setup)
		return
	}
	p.ramp.Send(now, len(main))
	sc.execution.mainLeft = len(main)
	p.send(sc, main)
}

// setDeadline sets the deadline of a connection to the given time from now.
func (p *Pool) setDeadline(sc *serverConn, left time.Duration) {
	if err := sc.conn.SetDeadline(time.Now().Add(left)); err != nil {
		p.log.LogAttrs(context.Background(), slog.LevelWarn, "setting the deadline of a connection to a server failed", slog.String("error", err.Error()))
	}
}

// send sends commands of the connection's current execution.
func (p *Pool) send(sc *serverConn, commands []stmt.Command) {
	if err := sc.conn.Send(commands); err != nil {
		// Closing the connection makes its reader fail too, which ends the execution.
		p.log.LogAttrs(context.Background(), slog.LevelInfo, "sending commands to a server failed",
			slog.String("request", logs.Shortened(sc.execution.request.order.Statement.ID)), slog.String("server", string(p.server.ID)), slog.String("error", err.Error()))
		closeConn(sc.conn)
	}
}
