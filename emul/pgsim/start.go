package pgsim

import (
	"encoding/binary"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// start answers the startup messages and says whether the session may go on.
func (s *session) start() bool {
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
			return s.welcome(m)
		default:
			return false
		}
	}
}

// welcome logs the client in.
func (s *session) welcome(m *pgproto3.StartupMessage) bool {
	if err := s.login(m); err != nil {
		s.refuse(err)
		return false
	}
	s.take(m.Parameters)
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
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.process, SecretKey: s.secretKey()})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return s.backend.Flush() == nil
}

// login checks the limit of connections and the password, and takes its time.
func (s *session) login(m *pgproto3.StartupMessage) error {
	if err := s.server.admit(s); err != nil {
		return err
	}
	if err := sleep(s.ctx, s.server.group.conf.ConnectCost); err != nil {
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
		return wrongUser
	}
	return nil
}

// refuse sends the final error of a connection.
func (s *session) refuse(err error) {
	var f fault
	if !errors.As(err, &f) {
		return
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: f.code, Message: f.text})
	_ = s.backend.Flush()
}

// take keeps the settings among the startup parameters.
func (s *session) take(parameters map[string]string) {
	for name, value := range parameters {
		switch name {
		case "user", "database":
		case "options":
			s.takeOptions(value)
		default:
			s.settings[strings.ToLower(name)] = value
		}
	}
}

// takeOptions reads "-c name=value" and "--name=value" words.
func (s *session) takeOptions(options string) {
	for _, word := range strings.Fields(options) {
		word = strings.TrimPrefix(strings.TrimPrefix(word, "-c"), "--")
		if name, value, ok := strings.Cut(word, "="); ok {
			s.settings[strings.ToLower(name)] = value
		}
	}
}
