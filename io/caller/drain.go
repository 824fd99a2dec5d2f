package caller

import (
	"context"
	"time"

	"pomelofork/core/drain"
	"pomelofork/core/model"
	"pomelofork/io/wire"
)

// drainPollInterval is the time between two checks of the sessions in Drain.
const drainPollInterval = 20 * time.Millisecond

// Drain accepts no more callers, lets each session finish its unit of work, and closes
// sessions that have been idle for drainIdleTime. What sessions may begin until then follows the
// schedule, and when that is over, their batches are canceled and answered. It returns when no session
// is open, ctx ends or the schedule has ended.
func (s *Server) Drain(ctx context.Context, schedule drain.Stop) {
	s.mu.Lock()
	s.draining.Store(true)
	s.mu.Unlock()
	s.schedule.Store(&schedule)
	_ = s.config.Listener.Close()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.Sessions() > 0 && !schedule.Ended(s.config.Now()) {
		for _, sess := range s.openSessions() {
			sess.drain(s.config.Now(), schedule)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// shuttingDown returns the refusal of what didn't run because the instance is stopping.
func shuttingDown() *model.Refusal {
	return model.NewRefusal(model.RefusalConfig{Reason: model.ReasonShuttingDown, Outcome: model.OutcomeNotRun, RetryAfter: retryDelay})
}

// drain ends the session if it has been idle for drainIdleTime, outside a unit of work. When the schedule is
// over, it ends the session in any case, and its batch.
func (s *session) drain(now time.Time, schedule drain.Stop) {
	s.mu.Lock()
	idleLongEnough := s.idle && now.Sub(s.idleSince) >= drainIdleTime
	s.mu.Unlock()
	switch {
	case schedule.Over(now):
		s.stop(shuttingDown(), false)
		s.cancelRunningBatch()
	case idleLongEnough:
		s.stop(shuttingDown(), true)
	}
}

// checkStopping returns a refusal if the schedule of a planned stop doesn't let the batch begin. An open
// transaction is then rolled back.
func (s *session) checkStopping() *model.Refusal {
	schedule := s.server.schedule.Load()
	if schedule == nil || !s.batch.executes() {
		return nil
	}
	work, usual := s.work(), s.server.usualTime(s.route, s.timeout)
	if work == drain.WorkBegin {
		usual = 0
	}
	if schedule.Allows(s.now(), work, usual) {
		return nil
	}
	return shuttingDown()
}

// work returns the kind of work of the batch.
func (s *session) work() drain.Work {
	end := wire.EndsTransaction(s.batch.messages)
	switch {
	case s.stream != nil && end:
		return drain.WorkCommit
	case s.stream != nil:
		return drain.WorkContinue
	case wire.BeginsTransaction(s.batch.messages):
		return drain.WorkBegin
	default:
		return drain.WorkSingle
	}
}

// usualTime returns the time within which practically all batches of a route are answered.
func (s *Server) usualTime(route model.RouteID, timeout time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usual.Statement(string(route), timeout)
}

// observeBatch records how long a batch of a route took that succeeded.
func (s *Server) observeBatch(route model.RouteID, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usual.ObserveStatement(string(route), took)
}
