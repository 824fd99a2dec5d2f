package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"pomelofork/core/assert"
	"pomelofork/core/model"
	"pomelofork/core/retry"
	"pomelofork/core/route"
	"pomelofork/io/wire"
)

// stream is one unit of work. It implements wire.Stream.
type stream struct {
	// mu protects the fields that change after newStream. Run holds it for the whole batch,
	// so that Close and the expiry timer wait for the end of the batch.
	mu           sync.Mutex
	gateway      *Gateway
	unit         wire.Unit
	requirements route.Requirements
	began        time.Time
	deadline     time.Time

	// conn, server and pick are those of the open transaction. While there is none, conn
	// and server are nil.
	conn   *conn
	server *server
	pick   route.Pick
	// expiryTimer closes the stream at the deadline while a transaction is open.
	expiryTimer *time.Timer
	// primaryConfirmed says that the server was confirmed as primary at a time after the
	// unit began.
	primaryConfirmed bool
	// committed says that a batch of the unit has committed a transaction block.
	committed bool
	// tracker follows the attempts at the current batch.
	tracker  retry.Tracker
	finished bool
}

func newStream(g *Gateway, unit wire.Unit) (*stream, error) {
	now := g.config.Now()
	s := &stream{gateway: g, unit: unit, began: now, deadline: now.Add(unit.Remaining)}
	if unit.Remaining <= 0 {
		s.deadline = now.Add(defaultUnitTimeout)
	}
	s.requirements = route.Requirements{Access: unit.Access, MaxAge: unit.MaxAge, WaitingSince: now}
	if unit.Token == "" {
		return s, nil
	}
	token, err := model.ParsePoint(unit.Token)
	if err != nil {
		return nil, notRun(model.ReasonBadMessage, err.Error())
	}
	s.requirements.Token, s.requirements.TokenKnown = token, true
	return s, nil
}

// reads reports whether the unit may only read.
func (s *stream) reads() bool { return s.unit.Access == model.AccessRead }

// Run implements wire.Stream.
func (s *stream) Run(ctx context.Context, batch wire.Batch, sink wire.Sink) (wire.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker = retry.Tracker{}
	if refusal := s.checkUsable(batch); refusal != nil {
		s.end()
		return wire.Result{}, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, s.deadline.Sub(s.gateway.config.Now()))
	defer cancel()
	for {
		s.gateway.config.Check.Hold(!s.tracker.InDoubt() || s.repeatable(), assert.InvariantAtMostOnce,
			"account %s, route %s: batch sent again although an earlier attempt may have run", s.unit.Account, s.unit.Route)
		a := &attempt{stream: s, batch: batch}
		result, err := a.run(ctx, sink)
		if err == nil {
			return result, nil
		}
		if final := s.afterFailure(ctx, a, err); final != nil {
			s.end()
			s.checkFinal(final)
			return wire.Result{}, final
		}
	}
}

// repeatable reports whether a batch of the unit may be sent again: because running it twice
// does no harm, or because its recorded outcome is found.
func (s *stream) repeatable() bool {
	return s.reads() || s.unit.Idempotent || s.unit.RequestID != ""
}

// checkFinal asserts that no attempt may have run if the final refusal says "not run".
func (s *stream) checkFinal(final error) {
	var refusal *model.Refusal
	notRun := errors.As(final, &refusal) && refusal.Outcome() == model.OutcomeNotRun
	s.gateway.config.Check.Hold(!notRun || !s.tracker.InDoubt(), assert.InvariantNotRunIsTrue,
		"account %s, route %s: refused as not run although an attempt may have run", s.unit.Account, s.unit.Route)
}

// afterFailure returns nil if the batch is to be sent again after an attempt that failed
// with err, and the final error otherwise. Before it returns nil, it waits for a change in
// the group.
func (s *stream) afterFailure(ctx context.Context, a *attempt, err error) error {
	decision, final := s.decide(ctx, a, err)
	if final != nil {
		return final
	}
	if decision.Action == retry.ActionRefuse {
		return s.refusal(decision, a)
	}
	if err := s.waitForChange(ctx); err != nil {
		return s.refusal(decision, a)
	}
	return nil
}

// checkUsable returns a refusal if the stream can run no more batches. The caller then ends
// the stream, which rolls back an open transaction.
func (s *stream) checkUsable(batch wire.Batch) *model.Refusal {
	switch {
	case s.finished:
		return s.tracker.CorrectOutcome(notRun(model.ReasonDeadline, "the unit of work is over"))
	case s.conn == nil:
		return nil
	case s.pick.Primary && !s.reads() && s.gateway.config.Group.Snapshot().Term() > s.pick.Term:
		return s.tracker.CorrectOutcome(notRun(model.ReasonNoPrimary, "the transaction's primary was replaced"))
	case s.gateway.transactionsExpired(s.server.id):
		return s.tracker.CorrectOutcome(notRun(model.ReasonShuttingDown, "backend server "+string(s.server.id)+" is leaving"))
	case !s.gateway.allowsInTransaction(batch):
		return s.tracker.CorrectOutcome(notRun(model.ReasonShuttingDown, "the gateway of the transaction is shutting down"))
	}
	return nil
}

// Close implements wire.Stream.
func (s *stream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end()
}

// end ends the stream. If a transaction is open, its connection is closed, so that the
// server rolls the transaction back. The caller holds mu.
func (s *stream) end() {
	if s.finished {
		return
	}
	s.finished = true
	if s.conn != nil {
		s.conn.altered = true
		s.gateway.releaseConn(s.server, s.conn, s.gateway.config.Now())
	}
	s.unpin()
	s.gateway.streamEnded()
}

// pin keeps a connection for an open transaction. When the unit's time is over, the stream
// is closed.
func (s *stream) pin(srv *server, c *conn, a *attempt) {
	if s.conn == nil {
		s.expiryTimer = time.AfterFunc(s.deadline.Sub(s.gateway.config.Now()), s.Close)
	}
	s.conn, s.server, s.pick = c, srv, a.pick
}

// unpin makes the stream forget its connection, which was released, closed or left to
// remoteCancel.
func (s *stream) unpin() {
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
	}
	s.conn, s.server = nil, nil
}
