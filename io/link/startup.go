package link

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
)

// The faults of a connection that doesn't log in.
var (
	errNeedTLS = errors.New("instances must use TLS here")
	errLogin   = errors.New("wrong user or password of an instance")
)

// startup lets the client log in.
func (s *session) startup() error {
	if err := s.conn.SetDeadline(s.server.config.Now().Add(startupTimeout)); err != nil {
		return err
	}
	s.backend = pgproto3.NewBackend(s.conn, s.conn)
	message, err := s.firstMessage()
	if err != nil {
		return err
	}
	if err := s.login(message); err != nil {
		return err
	}
	s.backend.SetMaxBodyLen(maxMessageBytes)
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	return s.conn.SetDeadline(time.Time{})
}

// firstMessage takes the requests for encryption that may come ahead of the
// startup message.
func (s *session) firstMessage() (*pgproto3.StartupMessage, error) {
	secured := s.server.config.TLS == nil
	for {
		m, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			if !secured {
				return nil, errNeedTLS
			}
			return m, nil
		case *pgproto3.SSLRequest:
			if secured {
				err = s.write("N")
			} else {
				secured, err = true, s.secure()
			}
		case *pgproto3.GSSEncRequest:
			err = s.write("N")
		default:
			return nil, fmt.Errorf("unexpected %T", m)
		}
		if err != nil {
			return nil, err
		}
	}
}

func (s *session) write(text string) error {
	_, err := s.conn.Write([]byte(text))
	return err
}

// secure begins TLS.
func (s *session) secure() error {
	if err := s.write("S"); err != nil {
		return err
	}
	s.conn = tls.Server(s.conn, s.server.config.TLS)
	s.backend = pgproto3.NewBackend(s.conn, s.conn)
	return nil
}

// login asks for the password and checks it.
func (s *session) login(message *pgproto3.StartupMessage) error {
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	m, err := s.backend.Receive()
	if err != nil {
		return err
	}
	password, ok := m.(*pgproto3.PasswordMessage)
	if ok && message.Parameters["user"] == User && same(password.Password, s.server.config.Secret) {
		return nil
	}
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity: "FATAL", SeverityUnlocalized: "FATAL",
		Code: model.ReasonWrongKey.SQLState(), Message: errLogin.Error(),
	})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	return errLogin
}

// same compares two secrets in constant time.
func same(a, b string) bool {
	left, right := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(left[:], right[:]) == 1
}
