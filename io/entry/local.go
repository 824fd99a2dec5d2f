package entry

import "pomelofork/core/stmt"

// answerLocally answers statements that need no server: settings of the session and
// prepared statements. It returns false for the others.
func (s *session) answerLocally(statement stmt.Statement) (stmt.Answer, bool) {
	done := stmt.Answer{State: s.state()}
	stored := true
	switch statement.Kind {
	case stmt.KindSet:
		stored = s.set(stmt.Value{Name: statement.Name, Content: statement.Rest})
	case stmt.KindPrepare:
		stored = s.prepare(statement.Name, stmt.Prepared{Shape: statement.Rest, Writes: statement.Writes})
	case stmt.KindDeallocate:
		s.deallocate(statement.Name)
	case stmt.KindExecute:
		if _, ok := s.prepared[statement.Name]; !ok {
			return stmt.Refuse(stmt.CodeNoStatement, s.state(), "no such prepared statement"), true
		}
		return done, false
	default:
		return done, false
	}
	if !stored {
		return stmt.Refuse(stmt.CodeTooLarge, s.state(), "session values or prepared statements are too large"), true
	}
	return done, true
}

// writes reports whether a statement writes, by itself or as the execution of a prepared
// statement that does.
func (s *session) writes(statement stmt.Statement) bool {
	return statement.Kind == stmt.KindWrite || (statement.Kind == stmt.KindExecute && s.prepared[statement.Name].Writes)
}
