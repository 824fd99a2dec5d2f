package entry

import (
	"log/slog"
	"time"

	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/logs"
)

// inTransaction answers a statement of a session with an open transaction.
func (s *session) inTransaction(now time.Time, statement stmt.Statement) stmt.Answer {
	switch {
	case statement.Kind == stmt.KindBegin || statement.Kind == stmt.KindBeginRead:
		return stmt.Refuse(stmt.CodeMalformed, s.state(), "a transaction is open already")
	case statement.Kind == stmt.KindRollback:
		s.rollback()
		s.tx = nil
		return stmt.Answer{State: stmt.StateIdle}
	case s.tx.aborted != "":
		answer := stmt.Refuse(stmt.CodeAborted, stmt.StateFailed, s.tx.aborted)
		if statement.Kind == stmt.KindCommit {
			s.tx = nil
			answer.State = stmt.StateIdle
		}
		s.log(slog.LevelInfo, "statement refused in an aborted transaction", slog.String("request", logs.Shortened(statement.ID)), slog.String("reason", answer.Text))
		return answer
	case s.tx.failed && statement.Kind == stmt.KindCommit:
		s.rollback()
		s.tx = nil
		return stmt.Refuse(stmt.CodeAborted, stmt.StateIdle, "transaction failed and was rolled back")
	case s.tx.failed:
		return stmt.Refuse(stmt.CodeMalformed, stmt.StateFailed, "transaction failed, it can only be ended")
	}
	if answer, ok := s.answerLocally(statement); ok {
		return answer
	}
	return s.runInTransaction(now, statement)
}

// runInTransaction runs a statement of the transaction on its server. The first one
// chooses the server.
func (s *session) runInTransaction(now time.Time, statement stmt.Statement) stmt.Answer {
	tx := s.tx
	if !s.entry.keysUsable(now) && tx.account != "" {
		return s.abortTransaction(statement, "configuration may be out of date")
	}
	if p := s.entry.config.View.State().Plan; tx.account != "" {
		if account, ok := p.AccountByKey(s.opening.Key); !ok || account.ID != tx.account {
			s.rollback()
			s.tx = nil
			return stmt.Refuse(stmt.CodeUnauthorized, stmt.StateIdle, "key was withdrawn")
		}
	}
	if tx.begun && s.transactionClosed(now, tx.server.ID) {
		return s.abortTransaction(statement, evacuatedText)
	}
	a := s.newAttempts(now, tx.admission, statement)
	a.order.Unit = tx.unit
	var result stmt.Result
	if tx.begun && !s.atHome(tx.server, a.order.Homes) {
		return s.abortTransaction(statement, "server of the transaction is not in an allowed region")
	}
	if tx.begun {
		a.order.Server = tx.server.ID
		a.order.Target, a.order.Timeout = tx.route.TargetLatency, a.deadline().Sub(now)
		result = s.entry.runOrder(now, tx.server, &a.order)
	} else {
		if _, known := s.ownPoint(tx.route); !known {
			// A transaction that any server may begin isn't proved to run at the primary.
			tx.begin = stmt.OpBegin
		}
		a.order.Begin = tx.begin
		a.primary = tx.begin == stmt.OpBegin
		a.allowsStale = !a.primary
		if s.writes(statement) {
			tx.wrote = true
		}
		result, tx.server = a.run()
		a.returnTokenIfNotSent()
		tx.begun = !result.NotSent
		if tx.begin == stmt.OpBegin && result.Answer.Code == stmt.CodeDone {
			s.learnOwn(tx.route.Service, result.Answer.Point)
		}
	}
	if s.writes(statement) {
		tx.wrote = true
	}
	answer := s.transactionAnswer(statement, result)
	s.report(now, tx.admission, &a.order, result, answer)
	return answer
}

// transactionAnswer turns a result into the answer to the caller and updates the
// transaction. If the outcome of a commit is unknown, the answer says that it is in
// doubt if the transaction may have written, and otherwise that it was aborted.
func (s *session) transactionAnswer(statement stmt.Statement, result stmt.Result) stmt.Answer {
	tx := s.tx
	answer := result.Answer
	if statement.Kind == stmt.KindCommit {
		s.tx = nil
		answer.State = stmt.StateIdle
		switch code := answer.Code; {
		case code == stmt.CodeDone:
			s.entry.observeTransaction(tx)
			if tx.wrote {
				s.recordCommit(clock.Now(), tx.route.Service, answer.Point)
			}
		case result.NotSent || code.NotRun():
			s.rollbackDetached(tx)
			answer = stmt.Refuse(stmt.CodeAborted, stmt.StateIdle, answer.Text)
		case code == stmt.CodeAborted || code == stmt.CodeFailed:
			s.rollbackDetached(tx)
		case tx.wrote:
			// Nothing is left of the transaction at the server. The instance in between may still remember it.
			s.rollbackDetached(tx)
			answer = stmt.Refuse(stmt.CodeInDoubt, stmt.StateIdle, "the commit may have taken effect")
		default:
			s.rollbackDetached(tx)
			answer = stmt.Refuse(stmt.CodeAborted, stmt.StateIdle, answer.Text)
		}
		return answer
	}
	if answer.Code == stmt.CodeDone {
		answer.State = stmt.StateOpen
		return answer
	}
	tx.failed = true
	answer.State = stmt.StateFailed
	if answer.Code == stmt.CodeConnectionLost || answer.Code == stmt.CodeReadOnly || answer.Code == stmt.CodeMoved {
		answer = stmt.Refuse(stmt.CodeAborted, stmt.StateFailed, answer.Text)
	}
	return answer
}

// rollbackDetached rolls back a transaction that the session no longer refers to.
func (s *session) rollbackDetached(tx *transaction) {
	s.tx = tx
	s.rollback()
	s.tx = nil
}

// abortTransaction rolls back the transaction for a reason that was found at this
// instance, and returns the answer to the statement.
func (s *session) abortTransaction(statement stmt.Statement, reason string) stmt.Answer {
	s.rollback()
	s.tx.failed, s.tx.aborted = true, reason
	answer := stmt.Refuse(stmt.CodeAborted, stmt.StateFailed, reason)
	version, age := s.configStatus(clock.Now())
	s.log(slog.LevelInfo, "transaction aborted", slog.String("request", logs.Shortened(statement.ID)), slog.Uint64("unit", s.tx.unit), slog.String("reason", reason),
		slog.Uint64("config_version", version), slog.Duration("config_age", age))
	if statement.Kind == stmt.KindCommit {
		s.tx = nil
		answer.State = stmt.StateIdle
	}
	return answer
}
