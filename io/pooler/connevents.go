package pooler

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/ramp"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/sock"
)

// handleOpened handles the end of an attempt to open a connection. It returns false if
// there is no connection to read from.
func (p *Pool) handleOpened(now time.Time, sc *serverConn, conn Conn, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened(now, sc)
	p.running--
	if err == nil || errors.Is(err, ErrConnectionLimit) {
		p.recordAnswer(now)
	}
	if err != nil {
		delete(p.conns, sc)
		p.log.LogAttrs(context.Background(), slog.LevelWarn, "opening a connection to a server failed",
			slog.String("server", string(p.server.ID)), slog.String("account", string(sc.account)), slog.String("error", err.Error()))
		p.exhausted = sock.Exhausted(err)
		p.handleOpenFailure(now, sc.account, errors.Is(err, ErrConnectionLimit))
		p.dispatch(now)
		return false
	}
	if p.updateEvacuated(now); p.closed || sc.closed || p.evacuated {
		delete(p.conns, sc)
		closeConn(conn)
		// After a return of the failure domain, queued statements may have waited for the slot.
		p.dispatch(now)
		return false
	}
	sc.conn = conn
	p.share.Opened(now, now.Sub(sc.openingSince))
	p.ramp.Opened(now, !p.reached, !p.downSince.IsZero() || (p.reached && p.alone(sc)))
	p.reached, p.downSince, p.exhausted = true, time.Time{}, false
	sc.idleFrom = now
	p.dispatch(now)
	return true
}

// handleOpenFailure delays the next attempt after a connection couldn't be opened. If the
// server has reached its limit and the pool has other connections, the queued requests wait
// until one of these can be closed for them. Otherwise they are rejected.
func (p *Pool) handleOpenFailure(now time.Time, account model.AccountID, limitReached bool) {
	if limitReached && len(p.conns) > 0 {
		p.pauseOpening(now, limitPause)
		p.observedLimit, p.observedLimitUntil = len(p.conns), now.Add(observedLimitPeriod)
		return
	}
	p.pauseOpening(now, dialPause)
	if !limitReached && !p.exhausted && p.downSince.IsZero() {
		p.downSince = now
	}
	p.refuseAccount(account)
}

// pauseOpening opens no connections for the given time, and dispatches the queue when it is
// over: the queued statements may need a connection while nothing else happens.
func (p *Pool) pauseOpening(now time.Time, pause time.Duration) {
	p.nextOpen = now.Add(pause)
	if p.openTimer != nil {
		p.openTimer.Stop()
	}
	p.openTimer = time.AfterFunc(pause, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.closed {
			p.dispatch(clock.Now())
		}
	})
}

// refuseAccount rejects the queued requests of an account that has no connection outside of
// transactions. Requests of open transactions stay queued.
func (p *Pool) refuseAccount(account model.AccountID) {
	for sc := range p.conns {
		if sc.account == account && sc.tx == (txKey{}) {
			return
		}
	}
	p.queue.Remove(func(r *request) bool {
		if r.order.Account != account || p.transactions[r.key] != nil {
			return false
		}
		r.result <- refused(p.unreachable(), "no connection to the server", dialPause)
		return true
	})
}

// handleAnswer handles one answer of the server. It ends the execution when all answers
// are there.
func (p *Pool) handleAnswer(now time.Time, sc *serverConn, answer stmt.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordAnswer(now)
	e := sc.execution
	if e == nil {
		// An answer without a command: it is unknown which command the next one belongs to.
		p.discard(sc)
		return
	}
	if e.setupLeft > 0 {
		e.setupLeft--
		if answer.Code != stmt.CodeDone && e.setupError == nil {
			e.setupError = &answer
			e.syncFailed = e.setupLeft >= e.setupRest
			p.logRefusedSetup(e, answer)
		}
		switch {
		case e.setupLeft > 0:
		case e.setupError != nil:
			p.finish(now, sc, e, answer)
		case p.updateEvacuated(now), sc.closed:
			// The connection is closed, whose reader ends the execution. Nothing was sent after the setup.
		case !p.ramp.Permits(now, ramp.Open):
			e.setupError = &stmt.Answer{Code: stmt.CodeBusy, Text: notGatewayText}
			e.retryAfter, _ = p.ramp.Admit(now, ramp.Bound, 0, len(e.main), 0)
			p.coldRefused()
			p.finish(now, sc, e, answer)
		default:
			p.release(e)
			p.ramp.Send(now, len(e.main))
			e.mainLeft = len(e.main)
			e.sentAt = now
			p.send(sc, e.main)
		}
		return
	}
	if !e.answered {
		e.answer, e.answered = answer, true
	}
	if e.mainLeft--; e.mainLeft == 0 {
		p.finish(now, sc, e, answer)
	}
}

// finish ends an execution whose answers are complete. The last answer holds the
// transaction state of the connection.
func (p *Pool) finish(now time.Time, sc *serverConn, e *execution, last stmt.Answer) {
	sc.execution = nil
	sc.idleFrom = now
	p.running--
	p.updateEvacuated(now)
	p.queue.Ended(e.request.item, now.Sub(e.startedAt))
	p.share.Ran(now, now.Sub(e.startedAt))
	p.release(e)
	order := e.request.order
	result := stmt.Result{Answer: e.answer}
	if e.setupError != nil {
		// The statement wasn't sent, because the session isn't in the state that the caller
		// expects.
		result.Answer = stmt.Refuse(e.setupError.Code, stmt.StateIdle, e.setupError.Text)
		result.Answer.Point = e.setupError.Point
		result.NotSent, result.RetryAfter = true, e.retryAfter
		if last.State != stmt.StateIdle || !e.setupError.Code.NotRun() || e.syncFailed {
			p.discard(sc)
		}
	} else if order.Statement.Kind != stmt.KindRollback && e.answer.Code == stmt.CodeDone {
		p.queue.ObserveCost(order.Class, now.Sub(e.sentAt))
	}
	result = p.checkAnswer(now, sc, e, result)
	// Success proves that the server was the primary at some time after sentAt.
	if order.NeedsPrimary() && e.setupError == nil && result.Answer.Code == stmt.CodeDone {
		p.confirmedAt = e.sentAt
		if !e.answer.Point.IsZero() {
			p.observe(p.server.Service, e.sentAt, e.answer.Point)
		}
	}
	switch {
	case sc.closed:
	case p.evacuated, sc.withdrawn, result.Answer.Code == stmt.CodeNoStatement:
		// Without the statement, the server's session isn't in the state that is recorded for it.
		p.discard(sc)
	case last.State == stmt.StateIdle:
		p.endTransaction(sc)
	case order.Unit == 0:
		p.discard(sc)
	}
	if err := sc.conn.SetDeadline(time.Time{}); err != nil && !sc.closed {
		p.discard(sc)
	}
	if order.Begin != stmt.OpPass && sc.tx != (txKey{}) && e.setupError == nil && e.answer.Code.NotRun() {
		p.abandon(now, sc, order)
	}
	p.respond(now, e.request, result)
	p.dispatch(now)
}

// respond sends a request's result, with the estimated wait at the server and the newest
// known point of its service.
func (p *Pool) respond(now time.Time, r *request, result stmt.Result) {
	result.Wait, result.Waits, result.OpeningShare = p.queue.EstimateWait(p.running), p.reportedWaits(now), p.share.Value()
	if at, point, ok := p.latest(p.server.Service); ok {
		result.Latest, result.LatestAge = point, now.Sub(at)
	}
	r.result <- result
}

// endTransaction makes the connection available outside of its transaction.
func (p *Pool) endTransaction(sc *serverConn) {
	if p.transactions[sc.tx] == sc {
		delete(p.transactions, sc.tx)
	}
	sc.tx = txKey{}
}

// handleClosed handles an error of receiving, which ends the connection. A statement
// without an answer is reported as not sent only if its setup hadn't succeeded yet.
func (p *Pool) handleClosed(now time.Time, sc *serverConn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := sc.execution
	sc.execution = nil
	if !sc.closed {
		p.log.LogAttrs(context.Background(), slog.LevelInfo, "receiving from a server failed, closing the connection",
			slog.String("server", string(p.server.ID)), slog.Bool("at_work", e != nil), slog.String("error", err.Error()))
	}
	p.discard(sc)
	if e != nil {
		p.running--
		p.queue.Ended(e.request.item, now.Sub(e.startedAt))
		p.release(e)
		result := stmt.Result{Answer: e.answer, NotSent: e.mainLeft == 0 && !e.answered}
		if !e.answered {
			result.Answer = stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, "connection to the server lost")
		}
		result = p.checkAnswer(now, sc, e, result)
		p.respond(now, e.request, result)
	}
	p.dispatch(now)
}

// discard closes a connection and rejects the queued requests of its transaction. The
// goroutine that reads from the connection ends its execution.
func (p *Pool) discard(sc *serverConn) {
	if key := sc.tx; key != (txKey{}) {
		p.endTransaction(sc)
		p.cancelQueued(key)
	}
	delete(p.conns, sc)
	sc.closed = true
	if sc.conn != nil {
		closeConn(sc.conn)
	}
}

// closeConn closes a connection. It ignores the error, because the connection can't be used
// afterwards in any case.
func closeConn(c Conn) { _ = c.Close() }
