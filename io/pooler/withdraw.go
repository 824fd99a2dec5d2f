package pooler

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"pomelofork/core/stmt"
	"pomelofork/io/logs"
)

const (
	// withdrawnText says why the work of a primary is refused.
	withdrawnText = "server is no longer the appointed primary"
	// withdrawnAnswerTimeout is the time for which a statement that was sent before the withdrawal of its
	// server's appointment may still be answered. A primary that has stepped down refuses the statement
	// within a round trip or a statement's duration, and the outcome of the statement is then known. If no
	// answer comes, the caller shouldn't wait much longer than for the promotion.
	withdrawnAnswerTimeout = 100 * time.Millisecond
)

// mayUse reports whether an order may be sent to the server now. Work for the primary may be,
// while the appointment that the entry knows is in force.
func (p *Pool) mayUse(now time.Time, order *stmt.Order) bool {
	return !order.NeedsPrimary() || p.allows(now, order.Epoch)
}

// Withdraw ends the work for the service's primary that was requested under an epoch below the
// given one. Queued orders are refused. Connections whose last order or transaction was such
// work are closed. A statement that was sent, other than a read, may still be refused by the server
// before that; its success is not passed on, and without an answer its outcome is unknown.
func (p *Pool) Withdraw(epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Remove(func(r *request) bool {
		if r.continuesTransaction() || !r.order.NeedsPrimary() || r.order.Epoch >= epoch {
			return false
		}
		r.result <- refused(stmt.CodeReadOnly, withdrawnText, 0)
		return true
	})
	for _, sc := range slices.Collect(maps.Keys(p.conns)) {
		if sc.usesPrimary && sc.epoch < epoch {
			p.log.LogAttrs(context.Background(), slog.LevelInfo, "appointment of the primary withdrawn, closing a connection in use",
				slog.String("server", string(p.server.ID)), slog.Uint64("epoch", sc.epoch), slog.Uint64("withdrawal", epoch))
			if e := sc.execution; e != nil && e.mainLeft > 0 && !e.request.order.Reads() {
				p.awaitRefusal(sc, e)
				continue
			}
			p.discard(sc)
		}
	}
}

// awaitRefusal lets a statement in flight be answered, for at most withdrawnAnswerTimeout. The connection
// is closed afterwards.
func (p *Pool) awaitRefusal(sc *serverConn, e *execution) {
	if sc.withdrawn {
		return
	}
	sc.withdrawn = true
	time.AfterFunc(withdrawnAnswerTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if sc.execution == e {
			p.discard(sc)
		}
	})
}

// ConfirmedAt returns the latest time as of which the server is known to have been the primary of
// its service, or the zero time.
func (p *Pool) ConfirmedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmedAt
}

// checkAnswer returns the result of an answered order, or that of a lost answer if the order used
// the primary and its appointment isn't known to be in force any more. Another server may have
// become the primary before this one ran the order.
func (p *Pool) checkAnswer(now time.Time, sc *serverConn, e *execution, result stmt.Result) stmt.Result {
	if !sc.usesPrimary || result.Answer.Code != stmt.CodeDone || e.request.order.Statement.Kind == stmt.KindRollback || (!sc.withdrawn && p.allows(now, sc.epoch)) {
		return result
	}
	p.log.LogAttrs(context.Background(), slog.LevelWarn, "answer withheld: the server's appointment as the primary isn't known to be in force",
		slog.String("request", logs.Shortened(e.request.order.Statement.ID)), slog.String("server", string(p.server.ID)), slog.Uint64("epoch", sc.epoch))
	p.discard(sc)
	return stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, withdrawnText)}
}
