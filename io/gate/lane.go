package gate

import (
	"context"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/retry"
	"pomelofork/core/route"
	"pomelofork/io/wire"
)

// lane is one unit of work. It implements wire.Lane.
type lane struct {
	gate     *Gate
	unit     wire.Unit
	ask      route.Ask
	began    time.Time
	deadline time.Time

	// conn, server and pick belong to an open transaction.
	conn   *conn
	server *server
	pick   route.Pick
	// confirmed says that the primary was seen to lead after the unit began.
	confirmed bool
	committed bool
	// doubt says that an earlier attempt at the batch may have taken effect.
	doubt    bool
	finished bool
}

func newLane(g *Gate, unit wire.Unit) (*lane, error) {
	now := g.config.Now()
	l := &lane{gate: g, unit: unit, began: now, deadline: now.Add(unit.Remaining)}
	if unit.Remaining <= 0 {
		l.deadline = now.Add(defaultTimeout)
	}
	l.ask = route.Ask{Access: unit.Access, MaxAge: unit.MaxAge, Since: now}
	if unit.Token == "" {
		return l, nil
	}
	token, err := model.ParsePoint(unit.Token)
	if err != nil {
		return nil, notRun(model.ReasonBadMessage, err.Error())
	}
	l.ask.Token, l.ask.TokenKnown = token, true
	return l, nil
}

// reads reports whether the unit may only read.
func (l *lane) reads() bool { return l.unit.Access == model.AccessRead }

// Run implements wire.Lane.
func (l *lane) Run(ctx context.Context, batch wire.Batch, sink wire.Sink) (wire.Result, error) {
	if l.finished {
		return wire.Result{}, notRun(model.ReasonShuttingDown, "the lane is finished")
	}
	ctx, cancel := context.WithTimeout(ctx, l.deadline.Sub(l.gate.config.Now()))
	defer cancel()
	for {
		a := &attempt{lane: l, batch: batch}
		result, err := a.run(ctx, sink)
		if err == nil {
			return result, nil
		}
		verdict, final := l.judge(ctx, a, err)
		if final != nil {
			l.Close()
			return wire.Result{}, final
		}
		if verdict.Action != retry.ActionAgain {
			l.Close()
			return wire.Result{}, l.refusal(verdict, a)
		}
		if err := l.pause(ctx); err != nil {
			l.Close()
			return wire.Result{}, l.refusal(verdict, a)
		}
	}
}

// Close implements wire.Lane.
func (l *lane) Close() {
	if l.finished {
		return
	}
	l.finished = true
	if l.conn != nil {
		l.dropConn()
	}
	l.gate.leave()
}

// dropConn closes the connection of an open transaction, which the server then
// rolls back.
func (l *lane) dropConn() {
	l.conn.Close()
	l.gate.mu.Lock()
	l.server.pool.Drop()
	l.gate.mu.Unlock()
	l.conn, l.server = nil, nil
}
