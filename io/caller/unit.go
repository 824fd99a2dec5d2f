package caller

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/assert"
	"pomelofork/core/conf"
	"pomelofork/core/model"
	"pomelofork/io/meter"
	"pomelofork/io/wire"
)

// runBatch runs the collected batch and answers the caller.
func (s *session) runBatch() error {
	if done, err := s.answerLocally(); done {
		return err
	}
	steps, errResponse := translate(s.statements, s.batch.messages)
	if errResponse != nil {
		s.abortTransaction()
		s.backend.Send(errResponse)
		return s.sendReady()
	}
	// The batch counts as running before the key is checked, so that a withdrawal that the
	// check doesn't see waits for the batch.
	batchCtx, cancelBatch := context.WithCancel(s.ctx)
	defer cancelBatch()
	defer s.beginBatch(cancelBatch)()
	config, refusal := s.server.config.Directory.Config(s.now())
	if refusal := s.checkOpenTransaction(config, refusal); refusal != nil {
		return s.fatal(refusal)
	}
	if refusal := s.checkStopping(); refusal != nil {
		return s.fatal(refusal)
	}
	began := s.now()
	ctx, cancel := context.WithTimeout(batchCtx, s.batchTimeout(config))
	defer cancel()
	out := newSink(s.backend, steps)
	result, err := s.runSteps(ctx, steps, out)
	dropFailedStatements(s.statements, steps, out.accepted)
	s.recordServer(out.servedBy)
	if err != nil {
		refusal := asRefusal(err)
		s.countUnit(refusal.Reason())
		s.abortTransaction()
		return s.sendRefusal(refusal)
	}
	s.server.observeBatch(s.route, s.now().Sub(began))
	if err := out.finish(); err != nil {
		return errClosed
	}
	return s.finishBatch(result, out)
}

// checkOpenTransaction returns a refusal if a transaction is open and the key of the session
// was withdrawn or no configuration is known to be current. A new unit of work is checked by
// newUnit.
func (s *session) checkOpenTransaction(config *conf.Config, refusal *model.Refusal) *model.Refusal {
	if s.stream == nil {
		return nil
	}
	if refusal != nil {
		return refusal
	}
	return s.checkKey(config)
}

// finishBatch updates the session from the result of a batch: the token, and the end of the
// unit of work if no transaction is open any more.
func (s *session) finishBatch(result wire.Result, out *sink) error {
	s.server.config.Check.Hold(out.allAnswered(), assert.InvariantCompleteAnswer, "account %s: the answer ended with %d messages unanswered, counting the last one of the batch", s.account, out.queue.Len())
	s.advanceToken(result)
	if result.TxStatus == txIdle {
		s.endUnit()
	}
	return s.sendReady()
}

// advanceToken advances the session's token to the log point that a write reached. A session
// without a token also takes one from its first read, which ran at the primary, whose log
// contains everything that the session ever wrote. Later reads don't change the token, so
// that replicas can continue to serve the session.
func (s *session) advanceToken(result wire.Result) {
	changed := false
	switch {
	case s.access == model.AccessRead:
		changed = s.tokens.Learn(s.service, result.Point)
	case !result.Point.IsZero():
		changed = s.tokens.Advance(s.service, result.Point)
	}
	if changed {
		s.backend.Send(&pgproto3.ParameterStatus{Name: parameterToken, Value: s.tokens.String()})
	}
}

// abortTransaction closes the stream of the open transaction, if there is one. The caller
// must then end the transaction, as after any error inside one.
func (s *session) abortTransaction() {
	if s.stream == nil {
		return
	}
	s.endUnit()
	s.aborted = true
}

// beginBatch records that a batch runs and how to cancel it. The returned function records
// its end.
func (s *session) beginBatch(cancel context.CancelFunc) func() {
	ended := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelBatch, s.batchEnded = cancel, ended
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cancelBatch, s.batchEnded = nil, nil
		close(ended)
	}
}

// runSteps runs the steps on the stream of the open transaction, or starts a unit of work
// with them.
func (s *session) runSteps(ctx context.Context, steps []step, out *sink) (wire.Result, error) {
	forwarded := wire.Batch{}
	for _, st := range steps {
		if st.message != nil {
			forwarded.Messages = append(forwarded.Messages, st.message)
		}
	}
	if s.stream != nil {
		return s.stream.Run(ctx, forwarded, out)
	}
	s.unit = meter.Unit{Account: s.account, Route: s.route, Service: s.service, Started: s.now()}
	unit, refusal := s.newUnit(ctx)
	if refusal != nil {
		return wire.Result{}, refusal
	}
	if s.batch.executes() {
		if err := s.takeToken(ctx); err != nil {
			return wire.Result{}, err
		}
	}
	return s.startUnit(ctx, unit, forwarded, out)
}

// newUnit describes the next unit of work. It returns a refusal if the configuration in
// force doesn't allow the unit.
func (s *session) newUnit(ctx context.Context) (wire.Unit, *model.Refusal) {
	config, refusal := s.server.config.Directory.Config(s.now())
	if refusal != nil {
		return wire.Unit{}, refusal
	}
	if refusal := s.checkKey(config); refusal != nil {
		return wire.Unit{}, refusal
	}
	route, refusal := s.checkRoute(config)
	if refusal != nil {
		return wire.Unit{}, refusal
	}
	s.charge(route)
	unit := wire.Unit{
		Account: s.account, Service: route.Service(), Route: route.ID(), Access: route.Access(),
		MaxAge: route.MaxAge(), Idempotent: route.Idempotent(),
	}
	// Drivers prepare a statement in a batch of its own. The request ID belongs to the batch
	// that executes it.
	if s.batch.executes() {
		unit.RequestID, s.requestID = s.requestID, ""
	}
	if point, known := s.tokens.Point(route.Service()); known {
		unit.Token = point.String()
	}
	s.service, s.unit.Service = route.Service(), route.Service()
	s.access, s.unit.Access = route.Access(), route.Access()
	s.server.config.Check.Hold(route.OpenToAll() || (!s.anonymous && s.key != ""), assert.InvariantAccountKey,
		"unit on route %s without the key of account %s", unit.Route, unit.Account)
	return unit, nil
}

// checkRoute returns the route of the session, or a refusal if the session may not use it
// now.
func (s *session) checkRoute(config *conf.Config) (conf.Route, *model.Refusal) {
	route, ok := config.Route(s.route)
	if !ok {
		return conf.Route{}, notRun(model.ReasonUnknownRoute, "route %q", s.route)
	}
	if !route.OpenToAll() && (s.anonymous || !route.Allows(s.account)) {
		return conf.Route{}, notRun(model.ReasonRouteForbidden, "route %q, account %q", s.route, s.account)
	}
	if route.Access() == model.AccessWrite && config.RefusesWrites() {
		return conf.Route{}, model.NewRefusal(model.RefusalConfig{
			Reason: model.ReasonWritesRefused, Outcome: model.OutcomeNotRun, RetryAfter: maintenanceRetryDelay,
			Detail: "preset " + config.Preset(),
		})
	}
	return route, nil
}

// batchTimeout returns the timeout of one batch: the one that the caller set, but at most
// the statement timeout of the service: that of the open transaction, or else the one to which the
// route leads now. Without a configuration the unit is refused anyway.
func (s *session) batchTimeout(config *conf.Config) time.Duration {
	if config == nil {
		return s.timeout
	}
	id := s.service
	if route, ok := config.Route(s.route); ok && s.stream == nil {
		id = route.Service()
	}
	service, ok := config.Service(id)
	if !ok {
		return s.timeout
	}
	return min(s.timeout, service.StatementTimeout())
}
