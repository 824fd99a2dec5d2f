package caller

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
	"pomelofork/core/sess"
)

// textOID is the type of every column that the entry itself answers.
const textOID = 25

// local answers a batch without any gateway: settings of ours, and the end of a
// transaction that is lost.
type local struct {
	session *session
	portals map[string]string
}

// answerLocally answers the batch if all of its statements are the entry's own. It
// reports false when the batch belongs to the gateway.
func (s *session) answerLocally() (bool, error) {
	l := local{session: s, portals: map[string]string{}}
	own, foreign := l.count()
	if own > 0 && foreign > 0 {
		s.loseTransaction()
		s.backend.Send(plainError("0A000", "statements of %s can't share a batch with others", settingPrefix))
		return true, s.ready()
	}
	if own == 0 && !s.broken {
		return false, nil
	}
	return true, l.run()
}

// texts calls visit for each statement text that the batch prepares, binds or runs.
func (l *local) texts(visit func(text string)) {
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

// count tells the entry's own statements from those of the backend servers.
func (l *local) count() (own, foreign int) {
	l.texts(func(text string) {
		if _, ours := parseSetting(text); ours {
			own++
		} else {
			foreign++
		}
	})
	return own, foreign
}

// run answers message by message until the first error.
func (l *local) run() error {
	for _, m := range l.session.batch.messages {
		if fault := l.message(m); fault != nil {
			l.session.backend.Send(fault)
			break
		}
	}
	return l.session.ready()
}

func (l *local) message(m pgproto3.FrontendMessage) *pgproto3.ErrorResponse {
	backend := l.session.backend
	switch m := m.(type) {
	case *pgproto3.Query:
		return l.execute(m.String, true)
	case *pgproto3.Parse:
		if !l.session.statements.keep(m) {
			return plainError("53400", "more than %d prepared statements in one session", maxPrepared)
		}
		backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		p, ok := l.session.statements.get(m.PreparedStatement)
		if !ok {
			return plainError("26000", "prepared statement %q does not exist", m.PreparedStatement)
		}
		l.portals[m.DestinationPortal] = p.Query
		backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		l.describe(m)
	case *pgproto3.Execute:
		return l.execute(l.portals[m.Portal], false)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			l.session.statements.drop(m.Name)
		}
		backend.Send(&pgproto3.CloseComplete{})
	}
	return nil
}

func (l *local) describe(m *pgproto3.Describe) {
	text := l.portals[m.Name]
	if m.ObjectType == 'S' {
		if p, ok := l.session.statements.get(m.Name); ok {
			text = p.Query
		}
		l.session.backend.Send(&pgproto3.ParameterDescription{})
	}
	if own, ok := parseSetting(text); ok && own.show {
		l.session.backend.Send(rowDescription(own.name))
		return
	}
	l.session.backend.Send(&pgproto3.NoData{})
}

// execute runs one statement of the entry's own.
func (l *local) execute(text string, describe bool) *pgproto3.ErrorResponse {
	if l.session.broken {
		return l.executeBroken(text)
	}
	own, ok := parseSetting(text)
	if !ok {
		return plainError("0A000", "not a statement of %s", settingPrefix)
	}
	backend := l.session.backend
	if own.discard {
		l.session.statements.clear()
		backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(own.name + " ALL")})
		return nil
	}
	if !own.show {
		if fault := l.session.set(own.name, own.value); fault != nil {
			return fault
		}
		backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		return nil
	}
	value, fault := l.session.get(own.name)
	if fault != nil {
		return fault
	}
	if describe {
		backend.Send(rowDescription(own.name))
	}
	backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
	return nil
}

// executeBroken waits for the caller to end a transaction that is lost, as PostgreSQL
// does after an error. COMMIT is answered with ROLLBACK, so that nobody takes it for one.
func (l *local) executeBroken(text string) *pgproto3.ErrorResponse {
	word := strings.ToUpper(strings.Trim(strings.TrimSpace(text), "; \t\n"))
	word, _, _ = strings.Cut(word, " ")
	switch word {
	case "ROLLBACK", "COMMIT", "ABORT", "END":
		l.session.broken = false
		l.session.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		return nil
	}
	return plainError("25P02", "current transaction is aborted, commands ignored until end of transaction block")
}

func rowDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(settingPrefix + name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// set changes one setting of the session.
func (s *session) set(name, value string) *pgproto3.ErrorResponse {
	switch name {
	case settingRoute:
		return s.setRoute(value)
	case settingToken:
		tokens, err := sess.Parse(value)
		if err != nil {
			return plainError("22023", "%s: %v", parameterToken, err)
		}
		s.tokens = tokens
	case settingRequestID:
		if len(value) > maxRequestID {
			return plainError("22023", "%s%s: longer than %d bytes", settingPrefix, name, maxRequestID)
		}
		s.requestID = value
	case settingTimeout:
		timeout, err := parseTimeout(value)
		if err != nil {
			return plainError("22023", "%v", err)
		}
		s.timeout = timeout
	default:
		return plainError("42704", "unknown setting %s%s", settingPrefix, name)
	}
	return nil
}

// setRoute moves the session to another route, of any service, between transactions.
func (s *session) setRoute(value string) *pgproto3.ErrorResponse {
	if s.lane != nil {
		return plainError("25001", "the route can't change inside a transaction")
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

// get reads one setting of the session.
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
		return "", plainError("42704", "unknown setting %s%s", settingPrefix, name)
	}
}
