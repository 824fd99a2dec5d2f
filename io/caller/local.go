package caller

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
	"pomelofork/core/sess"
)

// textOID is the PostgreSQL type text, which all columns of answers of the entry have.
const textOID = 25

// localBatch answers a batch in the entry, without a gateway: a batch of SET, SHOW and
// DISCARD statements that the entry handles, or any batch while the transaction is aborted.
type localBatch struct {
	session *session
	// portals holds the statement text of each portal that the batch has bound.
	portals map[string]string
}

// answerLocally answers the batch if the entry handles all of its statements or the
// transaction is aborted. It returns false if the batch must go to a gateway.
func (s *session) answerLocally() (bool, error) {
	l := localBatch{session: s, portals: map[string]string{}}
	local, forwarded := l.countStatements()
	if local > 0 && forwarded > 0 {
		s.abortTransaction()
		s.backend.Send(newErrorResponse("0A000", "statements of %s can't share a batch with others", settingPrefix))
		return true, s.sendReady()
	}
	if local == 0 && !s.aborted {
		return false, nil
	}
	return true, l.run()
}

// visitStatements calls visit with the text of each statement that the batch prepares, binds,
// describes or runs.
func (l *localBatch) visitStatements(visit func(text string)) {
	inBatch := map[string]string{}
	for _, m := range l.session.batch.messages {
		switch m := m.(type) {
		case *pgproto3.Query:
			visit(m.String)
		case *pgproto3.Parse:
			inBatch[m.Name] = m.Query
			visit(m.Query)
		case *pgproto3.Bind:
			if _, seen := inBatch[m.PreparedStatement]; seen {
				continue
			}
			if p, ok := l.session.statements.get(m.PreparedStatement); ok {
				visit(p.Query)
			}
		case *pgproto3.Describe:
			if p, ok := l.session.statements.get(m.Name); ok && m.ObjectType == 'S' {
				visit(p.Query)
			}
		}
	}
}

// countStatements returns how many statements of the batch the entry handles, and how many
// belong to a backend server.
func (l *localBatch) countStatements() (local, forwarded int) {
	l.visitStatements(func(text string) {
		if _, isLocal := parseLocalStatement(text); isLocal {
			local++
		} else {
			forwarded++
		}
	})
	return local, forwarded
}

// run answers the messages of the batch in order. It skips the rest after the first error.
func (l *localBatch) run() error {
	for _, m := range l.session.batch.messages {
		if errResponse := l.answer(m); errResponse != nil {
			l.session.backend.Send(errResponse)
			break
		}
	}
	return l.session.sendReady()
}

// answer answers one message. It returns the error to send to the caller, or nil.
func (l *localBatch) answer(m pgproto3.FrontendMessage) *pgproto3.ErrorResponse {
	backend := l.session.backend
	switch m := m.(type) {
	case *pgproto3.Query:
		return l.execute(m.String, true)
	case *pgproto3.Parse:
		if errResponse := l.session.statements.put(m); errResponse != nil {
			return errResponse
		}
		backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		p, ok := l.session.statements.get(m.PreparedStatement)
		if !ok {
			return newErrorResponse("26000", "prepared statement %q does not exist", m.PreparedStatement)
		}
		l.portals[m.DestinationPortal] = p.Query
		backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		l.describe(m)
	case *pgproto3.Execute:
		return l.execute(l.portals[m.Portal], false)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			l.session.statements.remove(m.Name)
		}
		backend.Send(&pgproto3.CloseComplete{})
	}
	return nil
}

// describe answers a Describe of a statement or portal that the entry handles.
func (l *localBatch) describe(m *pgproto3.Describe) {
	text := l.portals[m.Name]
	if m.ObjectType == 'S' {
		if p, ok := l.session.statements.get(m.Name); ok {
			text = p.Query
		}
		l.session.backend.Send(&pgproto3.ParameterDescription{})
	}
	if statement, ok := parseLocalStatement(text); ok && statement.show {
		l.session.backend.Send(rowDescription(statement.name))
		return
	}
	l.session.backend.Send(&pgproto3.NoData{})
}

// execute runs one statement that the entry handles. If describe is true, it sends a row
// description ahead of rows, as the simple query protocol demands.
func (l *localBatch) execute(text string, describe bool) *pgproto3.ErrorResponse {
	if l.session.aborted {
		return l.executeAborted(text)
	}
	statement, ok := parseLocalStatement(text)
	if !ok {
		return newErrorResponse("0A000", "not a statement of %s", settingPrefix)
	}
	backend := l.session.backend
	if statement.discard {
		l.session.statements.clear()
		backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(statement.name + " ALL")})
		return nil
	}
	if !statement.show {
		if errResponse := l.session.set(statement.name, statement.value); errResponse != nil {
			return errResponse
		}
		backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		return nil
	}
	value, errResponse := l.session.get(statement.name)
	if errResponse != nil {
		return errResponse
	}
	if describe {
		backend.Send(rowDescription(statement.name))
	}
	backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
	return nil
}

// executeAborted rejects every statement but one that ends the aborted transaction, as
// PostgreSQL does after an error. COMMIT is answered with ROLLBACK, so that no caller
// believes that its transaction was committed.
func (l *localBatch) executeAborted(text string) *pgproto3.ErrorResponse {
	command := strings.ToUpper(strings.Trim(strings.TrimSpace(text), "; \t\n"))
	command, _, _ = strings.Cut(command, " ")
	switch command {
	case "ROLLBACK", "COMMIT", "ABORT", "END":
		l.session.aborted = false
		l.session.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		return nil
	}
	return newErrorResponse("25P02", "current transaction is aborted, commands ignored until end of transaction block")
}

// rowDescription describes the answer to SHOW, which has one column named as the setting.
func rowDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(settingPrefix + name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// set changes one setting of the session. The name has no prefix.
func (s *session) set(name, value string) *pgproto3.ErrorResponse {
	switch name {
	case settingRoute:
		return s.setRoute(value)
	case settingToken:
		tokens, err := sess.Parse(value)
		if err != nil {
			return newErrorResponse("22023", "%s: %v", parameterToken, err)
		}
		s.tokens = tokens
	case settingRequestID:
		if err := checkRequestID(value); err != nil {
			return newErrorResponse("22023", "%v", err)
		}
		s.requestID = value
	case settingTimeout:
		timeout, err := parseTimeout(value)
		if err != nil {
			return newErrorResponse("22023", "%v", err)
		}
		s.timeout = timeout
	default:
		return newErrorResponse("42704", "unknown setting %s%s", settingPrefix, name)
	}
	return nil
}

// setRoute changes the route of the session, which may belong to another service. It fails
// inside a transaction.
func (s *session) setRoute(value string) *pgproto3.ErrorResponse {
	if s.stream != nil {
		return newErrorResponse("25001", "the route can't change inside a transaction")
	}
	config, refusal := s.server.config.Directory.Config(s.now())
	if refusal != nil {
		return refusalMessage(severityError, refusal)
	}
	route, ok := config.Route(model.RouteID(value))
	if !ok {
		return refusalMessage(severityError, notRun(model.ReasonUnknownRoute, "route %q", value))
	}
	s.route, s.service = route.ID(), route.Service()
	return nil
}

// get returns the value of one setting of the session. The name has no prefix.
func (s *session) get(name string) (string, *pgproto3.ErrorResponse) {
	switch name {
	case settingRoute:
		return string(s.route), nil
	case settingToken:
		return s.tokens.String(), nil
	case settingRequestID:
		return s.requestID, nil
	case settingTimeout:
		return s.timeout.String(), nil
	default:
		return "", newErrorResponse("42704", "unknown setting %s%s", settingPrefix, name)
	}
}
