package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"pomelofork/core/drain"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/sess"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/logs"
)

const (
	// openTimeout bounds the wait for a caller's opening.
	openTimeout = 5 * time.Second
	// refusedOpenTimeout is the same for a caller that is refused because of the number of sessions.
	refusedOpenTimeout = 500 * time.Millisecond
	// firstPlanWait bounds the time that a caller waits for the first configuration when
	// the instance has just started.
	firstPlanWait = 1500 * time.Millisecond
	// firstPlanPause is the interval at which the first configuration is checked for.
	firstPlanPause = 20 * time.Millisecond
)

// session serves the connection of one caller. Only its own goroutine uses the fields
// above mu.
type session struct {
	entry   *Entry
	caller  Caller
	opening Opening
	// excess says that there are too many sessions for this one.
	excess bool
	settings
	own ownCommits
	tx  *transaction
	// idleUntil is when the open transaction will have been idle for too long, or zero.
	idleUntil time.Time

	mu sync.Mutex
	// opened says that the caller's opening was accepted.
	opened bool
	// busy is true while a statement is being served.
	busy bool
	// inTx is true while a transaction is open.
	inTx bool
	// ending is true when the session is to end as soon as no transaction is open.
	ending bool
	// notifiedAt is when the caller was told that the session ends, or zero.
	notifiedAt time.Time
}

// newSession serves a caller in the background until the caller or this instance ends
// the session. If excess is true, the caller is refused once its opening has been read.
func newSession(e *Entry, caller Caller, excess bool) *session {
	s := &session{entry: e, caller: caller, excess: excess, settings: settings{budget: &e.settings}, own: ownCommits{points: sess.NewPoints[sess.Newest]()}}
	e.mu.Lock()
	e.sessions[s] = struct{}{}
	e.mu.Unlock()
	go func() {
		defer s.end()
		if s.open() {
			s.serve()
		}
	}()
	return s
}

// end rolls back the open transaction, closes the connection and removes the session.
func (s *session) end() {
	s.rollback()
	// An error means that the caller closed the connection first.
	_ = s.caller.Close()
	s.release()
	s.budget.resize(-s.own.points.Bytes())
	s.entry.mu.Lock()
	delete(s.entry.sessions, s)
	s.entry.mu.Unlock()
}

// open reads the opening and checks it. It returns false if the session was not
// accepted.
func (s *session) open() bool {
	timeout := openTimeout
	if s.excess {
		timeout = refusedOpenTimeout
	}
	s.setReadDeadline(time.Now().Add(timeout))
	opening, err := s.caller.Open()
	if err != nil {
		if errors.Is(err, ErrTooLarge) {
			s.refuse(stmt.Refuse(stmt.CodeTooLarge, stmt.StateIdle, "opening is too large"))
		} else if errors.Is(err, os.ErrDeadlineExceeded) && s.isEnding() {
			s.refuseOpening()
		} else if !errors.Is(err, io.EOF) {
			s.refuse(stmt.Refuse(stmt.CodeMalformed, stmt.StateIdle, "opening not understood"))
		}
		return false
	}
	s.setReadDeadline(time.Time{})
	s.opening = opening
	if s.excess {
		s.refuse(stmt.Refuse(stmt.CodeConnectionLimit, stmt.StateIdle, "too many sessions at this instance"))
		return false
	}
	for waited := time.Duration(0); s.entry.config.View.State().Plan == nil && waited < firstPlanWait && s.allowsWork(clock.Now(), drain.WorkSession); waited += firstPlanPause {
		time.Sleep(firstPlanPause)
	}
	if _, _, refusal := s.admit(clock.Now()); refusal != nil {
		s.log(slog.LevelInfo, "session refused", slog.String("database", logs.Shortened(opening.Database)), slog.String("code", refusal.Code.String()), slog.String("reason", refusal.Text))
		s.refuse(*refusal)
		return false
	}
	if !s.allowsWork(clock.Now(), drain.WorkSession) {
		s.refuseOpening()
		return false
	}
	s.mu.Lock()
	s.opened = true
	s.mu.Unlock()
	return s.caller.Accept() == nil
}

// refuseOpening refuses a session that begins while this instance is stopping or isolated.
func (s *session) refuseOpening() {
	s.entry.stopRefused.Add(1)
	reason := stoppingText
	if !s.entry.stopping().Active() {
		reason = isolatedText
	}
	s.log(slog.LevelInfo, "session refused", slog.String("database", logs.Shortened(s.opening.Database)), slog.String("reason", reason))
	s.refuse(stmt.Refuse(stmt.CodeBusy, stmt.StateIdle, reason))
}

// refuse sends the answer with which the session ends. An error means that the
// connection is closed already, which ends the session as well.
func (s *session) refuse(answer stmt.Answer) { _ = s.caller.Refuse(answer) }

// setReadDeadline sets the deadline for reading from the caller. After an error the next
// read fails as well.
func (s *session) setReadDeadline(deadline time.Time) { _ = s.caller.SetReadDeadline(deadline) }

// log logs a decision about the session or one of its statements.
func (s *session) log(level slog.Level, message string, attrs ...slog.Attr) {
	s.entry.config.Log.LogAttrs(context.Background(), level, message, attrs...)
}

// admit checks the session's database and key against the configuration in force. It
// returns the answer to the caller if they aren't admitted, and otherwise the route and
// the account, which is empty for a caller without a known key.
func (s *session) admit(now time.Time) (plan.Route, model.AccountID, *stmt.Answer) {
	refuse := func(code stmt.Code, text string) (plan.Route, model.AccountID, *stmt.Answer) {
		answer := stmt.Refuse(code, stmt.StateIdle, text)
		return plan.Route{}, "", &answer
	}
	p := s.entry.config.View.State().Plan
	if p == nil {
		return refuse(stmt.CodeBusy, "no configuration yet")
	}
	route, ok := p.Route(s.opening.Database)
	if !ok {
		return refuse(stmt.CodeNoDatabase, "no such database")
	}
	account, known := p.AccountByKey(s.opening.Key)
	if !known && !route.Public {
		return refuse(stmt.CodeUnauthorized, "unknown key")
	}
	if known && !s.entry.keysUsable(now) {
		return refuse(stmt.CodeBusy, "configuration may be out of date")
	}
	return route, account.ID, nil
}

// serve answers the statements of the session until it ends.
func (s *session) serve() {
	for s.prepareWait() {
		statement, err := s.caller.Next()
		now := clock.Now()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if !s.handleDeadline(now) {
				return
			}
			continue
		}
		if err != nil {
			if errors.Is(err, ErrTooLarge) {
				s.refuse(stmt.Refuse(stmt.CodeTooLarge, stmt.StateIdle, "message is too large"))
			}
			if errors.Is(err, ErrMalformed) {
				s.refuse(stmt.Refuse(stmt.CodeMalformed, stmt.StateIdle, "end of the message not understood"))
			}
			return
		}
		s.mu.Lock()
		s.busy = true
		s.mu.Unlock()
		s.idleUntil = time.Time{}
		answer := s.answer(now, statement)
		if err := s.caller.Reply(answer); err != nil {
			return
		}
		s.mu.Lock()
		s.busy = false
		s.inTx = s.tx != nil
		// To the caller, a notice that was the answer to this statement doesn't end the session.
		s.notifiedAt = time.Time{}
		s.mu.Unlock()
		if answer.Code == stmt.CodeUnauthorized || answer.Code == stmt.CodeNoDatabase {
			return
		}
	}
}

// prepareWait sets the deadline for the next statement. A session that is to end tells its caller first.
// It returns false if the caller can't be told.
func (s *session) prepareWait() bool {
	now := clock.Now()
	if over := s.entry.stopping().Over(now); !s.notified() && (over || (s.tx == nil && s.isEnding() && !s.caller.Buffered())) {
		if !s.notify(now) {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var until time.Time
	if s.notifiedAt.IsZero() {
		until = s.waitUntil()
	} else {
		until = s.notifiedAt.Add(closeTimeout)
	}
	if !until.IsZero() {
		// Deadlines of connections are by the usual clock.
		until = time.Now().Add(until.Sub(now))
	}
	s.setReadDeadline(until)
	return true
}

// handleDeadline handles a read deadline that has passed. It rolls back an open transaction
// whose time is over, or tells the caller of a session without one that the session ends. It returns false
// if the caller was told before or can't be told.
func (s *session) handleDeadline(now time.Time) bool {
	switch {
	case s.notified():
		return !s.closes(now)
	case s.entry.stopping().Over(now), s.tx == nil && s.isEnding():
		return s.notify(now)
	case s.tx == nil:
		// Whoever woke the session has found that it may go on.
	case !s.tx.failed && !s.allowsWork(now, drain.WorkCommit):
		s.abortIdle(stoppingText)
	case !s.idleUntil.IsZero() && !now.Before(s.idleUntil):
		s.abortIdle("transaction was idle for too long")
		s.idleUntil = time.Time{}
	}
	return true
}

// isEnding reports whether the session is to end.
func (s *session) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// drain ends the session at once if it is idle, and otherwise after its transaction. During a planned stop a
// session whose opening hasn't arrived ends at the second call, since the opening may be on its way.
func (s *session) drain() {
	stopping := s.entry.stopping().Active()
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.ending
	s.ending = true
	if !s.busy && !s.inTx && s.notifiedAt.IsZero() && (s.opened || !first || !stopping) {
		s.setReadDeadline(time.Now())
	}
}

// rollback sends the rollback of the open transaction to its server, if it has begun
// there.
func (s *session) rollback() {
	if s.tx == nil || !s.tx.begun {
		return
	}
	s.tx.begun = false
	order := stmt.Order{
		Entry: s.entry.config.RunID, Unit: s.tx.unit, Begin: stmt.OpPass, Server: s.tx.server.ID, Account: s.tx.account,
		Class: s.tx.route.Name, Timeout: s.tx.route.Timeout,
		Statement: stmt.Statement{ID: "-", Text: "ROLLBACK", Kind: stmt.KindRollback},
	}
	server := s.tx.server
	// Nothing waits for the result: if the order fails, the server rolls back when the
	// connection is closed.
	go func() { s.entry.config.Fleet.Run(clock.Now(), server, &order) }()
}

// state returns the state of the transaction as answers report it.
func (s *session) state() stmt.State {
	switch {
	case s.tx == nil:
		return stmt.StateIdle
	case s.tx.failed:
		return stmt.StateFailed
	default:
		return stmt.StateOpen
	}
}

// answer serves one statement and returns its answer. A statement that the state of the session
// doesn't allow is logged here, since it reaches no server.
func (s *session) answer(now time.Time, statement stmt.Statement) stmt.Answer {
	answer := s.serveStatement(now, statement)
	if answer.Code == stmt.CodeMalformed || answer.Code == stmt.CodeNoStatement || answer.Code == stmt.CodeTooLarge {
		s.log(slog.LevelInfo, "statement refused in this state of the session", slog.String("request", logs.Shortened(statement.ID)), slog.String("kind", statement.Kind.String()),
			slog.String("code", answer.Code.String()), slog.String("reason", answer.Text), slog.Bool("in_transaction", s.tx != nil))
	}
	return answer
}

// serveStatement returns the answer to one statement.
func (s *session) serveStatement(now time.Time, statement stmt.Statement) stmt.Answer {
	if answer, refused := s.refuseStopping(now, statement); refused {
		return answer
	}
	switch {
	case statement.Kind == stmt.KindInvalid:
		return stmt.Refuse(stmt.CodeMalformed, s.state(), "statement not understood")
	case statement.Kind == stmt.KindOversized:
		return stmt.Refuse(stmt.CodeTooLarge, s.state(), "statement is too large to be passed on")
	case s.tx != nil:
		return s.inTransaction(now, statement)
	case statement.Kind == stmt.KindCommit || statement.Kind == stmt.KindRollback:
		return stmt.Refuse(stmt.CodeMalformed, s.state(), "no transaction is open")
	}
	if answer, ok := s.answerLocally(statement); ok {
		return answer
	}
	if statement.Kind == stmt.KindBegin || statement.Kind == stmt.KindBeginRead {
		return s.begin(now, statement)
	}
	return s.runSingle(now, statement)
}
