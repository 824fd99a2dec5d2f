package pooler

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"pomelofork/core/stmt"
)

const (
	// ownerGoneText says why an order isn't run whose entry can't receive the answer.
	ownerGoneText = "instance that sent the order is gone"
	// unownedSlack is the time beyond the longest idle time of a transaction after which nobody is expected to go on
	// with it: the entry's order to end it may wait for a connection to this instance.
	unownedSlack = 5 * time.Second
)

// ownerGone reports whether the entry that sent the request can't receive its answer any more. Nobody would end a
// transaction that it begins.
func (r *request) ownerGone() bool {
	select {
	case <-r.gone:
		return true
	default:
		return false
	}
}

// refuseStart returns the refusal of a queued request that must not start any more, or false. The channel of a request
// is closed before RollBackEntry is called, so that each of its transactions is either ended by that or doesn't begin.
func (p *Pool) refuseStart(now time.Time, r *request) (stmt.Result, bool) {
	switch {
	case r.ownerGone():
		return refused(stmt.CodeAborted, ownerGoneText, 0), true
	case !r.continuesTransaction() && !p.mayUse(now, r.order):
		return refused(stmt.CodeReadOnly, withdrawnText, 0), true
	default:
		return stmt.Result{}, false
	}
}

// cancelQueued refuses the queued requests of a transaction that has ended.
func (p *Pool) cancelQueued(key txKey) {
	p.queue.Remove(func(r *request) bool {
		if r.key != key {
			return false
		}
		r.result <- refused(stmt.CodeAborted, "transaction is gone", 0)
		return true
	})
}

// hasQueued reports whether a request of a transaction is queued.
func (p *Pool) hasQueued(key txKey) bool {
	found := false
	p.queue.Each(func(r *request) { found = found || r.key == key })
	return found
}

// abandon rolls back the transaction that was begun for a statement which the server then didn't run. The entry repeats
// the statement with another begin, maybe at another server, and doesn't end this one.
func (p *Pool) abandon(now time.Time, sc *serverConn, order *stmt.Order) {
	p.endTransaction(sc)
	p.start(now, sc, &request{
		order:    &stmt.Order{Begin: stmt.OpPass, Account: order.Account, Values: order.Values, Statement: stmt.Statement{ID: "-", Text: "ROLLBACK", Kind: stmt.KindRollback}},
		received: now, deadline: now.Add(readTimeout), result: make(chan stmt.Result, 1),
	})
}

// endUnowned closes the connections whose transactions have been idle for so long that their entries must have ended
// them, and logs each. A statement that waits in the queue shows that there is an owner.
func (p *Pool) endUnowned(now time.Time) {
	if p.maxIdle <= 0 {
		return
	}
	for _, sc := range slices.Collect(maps.Values(p.transactions)) {
		if sc.execution != nil || now.Sub(sc.idleFrom) <= p.maxIdle+unownedSlack || p.hasQueued(sc.tx) {
			continue
		}
		p.log.LogAttrs(context.Background(), slog.LevelWarn, "transaction without an owner, closing its connection", slog.String("server", string(p.server.ID)),
			slog.Uint64("entry", sc.tx.entry), slog.Uint64("unit", sc.tx.number), slog.Duration("idle", now.Sub(sc.idleFrom)))
		p.discard(sc)
	}
}
