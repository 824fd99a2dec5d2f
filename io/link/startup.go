package link

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/model"
)

// Errors of connections that may not log in.
var (
	errTLSRequired = errors.New("connection without TLS refused: TLS is required between instances")
	errLogin       = errors.New("wrong user or password of an instance")
)

// startup reads the startup messages and checks the login, all within startupTimeout.
func (s *serverConn) startup() error {
	if err := s.conn.SetDeadline(s.server.config.Now().Add(startupTimeout)); err != nil {
		return err
	}
	s.useConn(s.conn)
	message, err := s.receiveStartup()
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

// receiveStartup answers requests for encryption, begins TLS if the server uses it,
// and returns the startup message.
func (s *serverConn) receiveStartup() (*pgproto3.StartupMessage, error) {
	secured := s.server.config.TLS == nil
	for {
		m, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			if !secured {
				return nil, errTLSRequired
			}
			return m, nil
		case *pgproto3.SSLRequest:
			if secured {
				err = s.writeText("N")
			} else {
				secured, err = true, s.startTLS()
			}
		case *pgproto3.GSSEncRequest:
			err = s.writeText("N")
		default:
			return nil, fmt.Errorf("unexpected %T", m)
		}
		if err != nil {
			return nil, err
		}
	}
}

func (s *serverConn) writeText(text string) error {
	_, err := s.conn.Write([]byte(text))
	return err
}

// startTLS accepts the request for TLS and continues the connection over it.
func (s *serverConn) startTLS() error {
	if err := s.writeText("S"); err != nil {
		return err
	}
	s.useConn(tls.Server(s.conn, s.server.config.TLS))
	return nil
}

// useConn sets the connection, on which messages are short until the login.
func (s *serverConn) useConn(conn net.Conn) {
	s.conn = conn
	s.backend = pgproto3.NewBackend(conn, conn)
	s.backend.SetMaxBodyLen(maxLoginBytes)
}

// login asks for the password and checks the user and the password.
func (s *serverConn) login(message *pgproto3.StartupMessage) error {
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
	if ok && message.Parameters["user"] == User && equalSecrets(password.Password, s.server.config.Secret) {
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

// equalSecrets compares two secrets in constant time.
func equalSecrets(a, b string) bool {
	left, right := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(left[:], right[:]) == 1
}
