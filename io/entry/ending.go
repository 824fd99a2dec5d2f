package entry

import (
	"log/slog"
	"time"

	"pomelofork/core/drain"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/logs"
)

// During a planned stop a session ends on the initiative of this instance. Its caller may send a statement
// at any moment, also while the session ends. So it is told first, by an error that it takes for the answer
// to a statement that is on its way, and that statement doesn't run. A caller without one closes the
// connection.

const (
	// stoppingText says why a caller is refused during a planned stop, and isolatedText why a session can't
	// begin while this instance is isolated.
	stoppingText = "instance is shutting down"
	isolatedText = "instance is isolated from the store"
	// noticeTime is the time within which a caller that was told of the end of its session has got
	// the notice, and this instance the statement that was on its way to it. It is several round trips.
	noticeTime = 40 * time.Millisecond
	// closeTimeout is the time after which a session ends whose caller was told of its end and
	// didn't close the connection.
	closeTimeout = time.Second
)

// allowsWork reports whether the schedule of a stop lets work of the session begin.
func (s *session) allowsWork(now time.Time, work drain.Work) bool {
	schedule := s.entry.stopping()
	if !schedule.Active() {
		return true
	}
	return schedule.Allows(now, work, s.usualTime(work))
}

// usualTime is Entry.usualTime for the session's route, or that of its transaction.
func (s *session) usualTime(work drain.Work) time.Duration {
	if s.tx != nil {
		return s.entry.usualTime(work, s.tx.route.Name, s.tx.route.Timeout)
	}
	if p := s.entry.config.View.State().Plan; p != nil {
		if route, ok := p.Route(s.opening.Database); ok {
			return s.entry.usualTime(work, route.Name, route.Timeout)
		}
	}
	return 0
}

// workOf returns the kind of work of a statement that has to be admitted during a stop. It returns false
// for a statement that is answered here and at once.
func (s *session) workOf(statement stmt.Statement) (drain.Work, bool) {
	switch statement.Kind {
	case stmt.KindBegin, stmt.KindBeginRead:
		return drain.WorkBegin, s.tx == nil
	case stmt.KindRead, stmt.KindWrite, stmt.KindExecute:
		if s.tx != nil {
			return drain.WorkContinue, !s.tx.failed
		}
		return drain.WorkSingle, true
	case stmt.KindCommit:
		return drain.WorkCommit, s.tx != nil && !s.tx.failed
	default:
		return 0, false
	}
}

// refuseStopping returns the answer to a statement that is refused because this instance is stopping,
// or because the session's caller was told that the session ends.
func (s *session) refuseStopping(now time.Time, statement stmt.Statement) (stmt.Answer, bool) {
	if s.notified() {
		if s.tx != nil {
			return stmt.Answer{}, false
		}
		return s.refuseEnding(statement), true
	}
	work, ok := s.workOf(statement)
	if !ok || s.allowsWork(now, work) {
		return stmt.Answer{}, false
	}
	if s.tx != nil {
		s.entry.stopRefused.Add(1)
		return s.abortTransaction(statement, stoppingText), true
	}
	// The caller comes back on another connection, which leads to another instance.
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
	return s.refuseEnding(statement), true
}

// refuseEnding refuses a statement of a session that ends.
func (s *session) refuseEnding(statement stmt.Statement) stmt.Answer {
	s.entry.stopRefused.Add(1)
	s.log(slog.LevelInfo, "statement refused, the session is ending", slog.String("request", logs.Shortened(statement.ID)), slog.String("kind", statement.Kind.String()))
	return stmt.Refuse(stmt.CodeBusy, s.state(), stoppingText)
}

// notify tells the caller that the session ends. Afterwards nothing of the session runs any more, so
// that the notice is a true answer to a statement that is on its way. It returns false if the caller
// can't be told, or the session ends because this instance is isolated: the connection is then closed, as it
// would be if the instance failed.
func (s *session) notify(now time.Time) bool {
	if !s.entry.stopping().Active() {
		return false
	}
	code := stmt.CodeBusy
	if s.tx != nil {
		code = stmt.CodeAborted
		s.abortIdle(stoppingText)
	}
	s.mu.Lock()
	s.notifiedAt = now
	s.mu.Unlock()
	s.entry.stopNotified.Add(1)
	return s.caller.Notify(stmt.Refuse(code, s.state(), stoppingText)) == nil
}

// abortIdle rolls back the open transaction. The caller gets the reason with its next statement.
func (s *session) abortIdle(reason string) {
	if s.tx.aborted == "" {
		s.log(slog.LevelInfo, "transaction aborted", slog.Uint64("unit", s.tx.unit), slog.String("reason", reason))
	}
	s.rollback()
	s.tx.aborted, s.tx.failed = reason, true
}

// notified reports whether the caller was told that the session ends.
func (s *session) notified() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.notifiedAt.IsZero()
}

// closes reports whether the caller was told of the session's end so long ago that this instance closes the
// connection.
func (s *session) closes(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.notifiedAt) >= closeTimeout
}

// quiet reports whether the session has no work, and its caller was told of its end a while ago.
func (s *session) quiet(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.busy && !s.notifiedAt.IsZero() && now.Sub(s.notifiedAt) >= noticeTime
}

// wake makes the session check whether it still waits for its caller, unless a statement is being
// served or the caller was told that the session ends. One whose opening is awaited goes on.
func (s *session) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opened && !s.busy && s.notifiedAt.IsZero() {
		s.setReadDeadline(time.Now())
	}
}

// finish ends the session unless a statement is being served. The caller is told.
func (s *session) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	if !s.busy && s.notifiedAt.IsZero() {
		s.setReadDeadline(time.Now())
	}
}

// waitUntil returns the time at which the session has to check whether it still waits for its caller, or the
// zero time.
func (s *session) waitUntil() time.Time {
	if s.tx == nil {
		return time.Time{}
	}
	if p := s.entry.config.View.State().Plan; s.idleUntil.IsZero() && p != nil && p.MaxIdle() > 0 {
		s.idleUntil = clock.Now().Add(p.MaxIdle())
	}
	schedule := s.entry.stopping()
	if s.tx.failed || !schedule.Active() {
		return s.idleUntil
	}
	commitUntil, _ := schedule.Until(drain.WorkCommit, s.usualTime(drain.WorkCommit))
	return earlier(s.idleUntil, commitUntil)
}
