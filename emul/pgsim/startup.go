package pgsim

import (
	"encoding/binary"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// startUp handles the messages of the startup phase. It returns true if the client is
// logged in and may send statements.
func (s *session) startUp() bool {
	for {
		m, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			s.server.cancelRequest(m.ProcessID, binary.BigEndian.Uint32(m.SecretKey))
			return false
		case *pgproto3.StartupMessage:
			return s.completeStartup(m)
		default:
			return false
		}
	}
}

// completeStartup logs the client in and sends the parameters of the connection. It returns
// false if the login was refused or the client can't be reached.
func (s *session) completeStartup(m *pgproto3.StartupMessage) bool {
	if err := s.authenticate(m); err != nil {
		s.sendFatalError(err)
		return false
	}
	s.applyParameters(m.Parameters)
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for name, value := range map[string]string{
		"server_version":              "17.0",
		"server_encoding":             "UTF8",
		"client_encoding":             "UTF8",
		"standard_conforming_strings": "on",
		"integer_datetimes":           "on",
		"DateStyle":                   "ISO, MDY",
		"TimeZone":                    "UTC",
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.cancelKey()})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return s.backend.Flush() == nil
}

// authenticate checks the connection limit, waits for Config.ConnectCost, and then checks
// the password.
func (s *session) authenticate(m *pgproto3.StartupMessage) error {
	if err := s.server.admit(s); err != nil {
		return err
	}
	if err := sleepContext(s.ctx, s.server.group.conf.ConnectCost); err != nil {
		return err
	}
	conf := s.server.group.conf
	if conf.User == "" {
		return nil
	}
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	answer, err := s.backend.Receive()
	if err != nil {
		return err
	}
	password, ok := answer.(*pgproto3.PasswordMessage)
	if !ok || m.Parameters["user"] != conf.User || password.Password != conf.Password {
		return errWrongLogin
	}
	return nil
}

// sendFatalError sends the error that ends the connection. It sends nothing for an error
// without a SQLSTATE, which means that the connection has failed already.
func (s *session) sendFatalError(err error) {
	var e sqlError
	if !errors.As(err, &e) {
		return
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: e.sqlstate, Message: e.message})
	_ = s.backend.Flush()
}

// applyParameters stores the startup parameters that are settings of the session.
func (s *session) applyParameters(parameters map[string]string) {
	for name, value := range parameters {
		switch name {
		case "user", "database":
		case "options":
			s.applyOptions(value)
		default:
			s.settings[strings.ToLower(name)] = value
		}
	}
}

// applyOptions stores the settings of the startup parameter "options", which are given as
// "-c name=value" or "--name=value".
func (s *session) applyOptions(options string) {
	for _, word := range strings.Fields(options) {
		word = strings.TrimPrefix(strings.TrimPrefix(word, "-c"), "--")
		if name, value, ok := strings.Cut(word, "="); ok {
			s.settings[strings.ToLower(name)] = value
		}
	}
}
