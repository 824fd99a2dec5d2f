package pooler

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"pomelofork/core/stmt"
)

// withdrawnText says why the work of a primary is refused.
const withdrawnText = "server is no longer the appointed primary"

// mayUse reports whether an order may be sent to the server now. Work for the primary may be,
// while the appointment that the entry knows is in force.
func (p *Pool) mayUse(now time.Time, order *stmt.Order) bool {
	return !order.NeedsPrimary() || p.allows(now, order.Epoch)
}

// Withdraw ends the work for the service's primary that was requested under an epoch below the
// given one. Queued orders are refused. Connections whose last order or transaction was such
// work are closed, so that the outcome of what was sent is unknown.
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
			p.discard(sc)
		}
	}
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
	if !sc.usesPrimary || result.Answer.Code != stmt.CodeDone || e.request.order.Statement.Kind == stmt.KindRollback || p.allows(now, sc.epoch) {
		return result
	}
	p.log.LogAttrs(context.Background(), slog.LevelWarn, "answer withheld: the server's appointment as the primary isn't known to be in force",
		slog.String("request", e.request.order.Statement.ID), slog.String("server", string(p.server.ID)), slog.Uint64("epoch", sc.epoch))
	p.discard(sc)
	return stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, withdrawnText)}
}
