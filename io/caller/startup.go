package caller

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"pomelofork/core/conf"
	"pomelofork/core/model"
	"pomelofork/core/sess"
	"pomelofork/io/event"
)

// errClosed says that the caller went away or was sent away; there is nothing to log.
var errClosed = errors.New("session closed")

// startup runs the handshake and leaves the session ready for its first statement.
func (s *session) startup() error {
	if err := s.conn.SetDeadline(s.now().Add(startupTimeout)); err != nil {
		return errClosed
	}
	message, err := s.startupMessage()
	if err != nil {
		return err
	}
	config, refusal := s.server.config.Directory.Config(s.now())
	if refusal != nil {
		return s.fatal(refusal)
	}
	if refusal := s.applyStartup(config, message.Parameters); refusal != nil {
		return s.fatal(refusal)
	}
	if refusal := s.authenticate(config, model.AccountID(message.Parameters["user"])); refusal != nil {
		event.Log(context.Background(), s.server.config.Logger, event.LoginRefused,
			slog.String("account", message.Parameters["user"]), slog.String("reason", refusal.Reason().String()))
		return s.fatal(refusal)
	}
	// A configuration that came while the key was judged has passed this session by.
	s.reload()
	if err := s.conn.SetWriteDeadline(noDeadline); err != nil {
		return errClosed
	}
	return s.welcome()
}

// startupMessage answers the requests that may come ahead of the startup message.
func (s *session) startupMessage() (*pgproto3.StartupMessage, error) {
	for {
		m, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, s.badStartup(err)
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			if err := s.upgrade(); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, errClosed
			}
		case *pgproto3.CancelRequest:
			s.server.cancel(m.ProcessID, m.SecretKey)
			return nil, errClosed
		case *pgproto3.StartupMessage:
			if s.server.config.RequireTLS && !s.secure {
				return nil, s.fatal(notRun(model.ReasonBadMessage, "this instance takes TLS connections only"))
			}
			return m, nil
		}
	}
}

// badStartup tells the caller about a broken startup message. A caller that just went
// away, as a port scan or a balancer's probe does, gets and causes nothing.
func (s *session) badStartup(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errClosed
	}
	return s.fatal(notRun(model.ReasonBadMessage, "startup message: %v", err))
}

func (s *session) upgrade() error {
	if s.server.config.TLS == nil || s.secure {
		if _, err := s.conn.Write([]byte{'N'}); err != nil {
			return errClosed
		}
		return nil
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return errClosed
	}
	encrypted := tls.Server(s.conn, s.server.config.TLS)
	if err := encrypted.HandshakeContext(s.ctx); err != nil {
		return fmt.Errorf("TLS handshake: %w", err)
	}
	s.useConn(encrypted)
	s.secure = true
	return nil
}

// applyStartup reads service, route, token and timeout from the startup parameters.
func (s *session) applyStartup(config *conf.Config, parameters map[string]string) *model.Refusal {
	s.service = model.ServiceID(parameters["database"])
	settings := startupSettings(parameters)
	if refusal := s.chooseRoute(config, settings[settingRoute]); refusal != nil {
		return refusal
	}
	if value, given := settings[settingToken]; given {
		tokens, err := sess.Parse(value)
		if err != nil {
			return notRun(model.ReasonBadMessage, "%s: %v", parameterToken, err)
		}
		s.tokens = tokens
	}
	if value, given := settings[settingTimeout]; given {
		timeout, err := parseTimeout(value)
		if err != nil {
			return notRun(model.ReasonBadMessage, "%v", err)
		}
		s.timeout = timeout
	}
	if value := settings[settingRequestID]; len(value) > maxRequestID {
		return notRun(model.ReasonBadMessage, "%s%s: longer than %d bytes", settingPrefix, settingRequestID, maxRequestID)
	}
	s.requestID = settings[settingRequestID]
	return nil
}

// chooseRoute sets the session's route to the named one, or to the first write route
// of the service.
func (s *session) chooseRoute(config *conf.Config, name string) *model.Refusal {
	if name != "" {
		route, ok := config.Route(model.RouteID(name))
		if !ok {
			return notRun(model.ReasonUnknownRoute, "route %q", name)
		}
		s.service, s.route = route.Service(), route.ID()
		return nil
	}
	route, ok := config.DefaultRoute(s.service)
	if !ok {
		return notRun(model.ReasonUnknownRoute, "database %q names no service with a write route, and no route was given", s.service)
	}
	s.route = route.ID()
	return nil
}

// authenticate checks the key, unless the session starts on a route that is open to all
// and its user is no client account. Such a session is charged to the route's account
// and can use no other kind of route.
func (s *session) authenticate(config *conf.Config, user model.AccountID) *model.Refusal {
	account, known := config.Account(user)
	route, _ := config.Route(s.route)
	if payer, open := route.ChargedTo(); open && !known {
		s.identify(payer, "", true)
		return nil
	}
	secret, err := s.askPassword()
	if err != nil {
		return notRun(model.ReasonBadMessage, "password message: %v", err)
	}
	if !known {
		return notRun(model.ReasonUnknownAccount, "account %q", user)
	}
	key, verdict := account.Verify(secret)
	switch verdict {
	case conf.KeyValid:
		s.identify(user, key, false)
		return nil
	case conf.KeyWithdrawn:
		return notRun(model.ReasonKeyWithdrawn, "account %q", user)
	default:
		return notRun(model.ReasonWrongKey, "account %q", user)
	}
}

// identify sets whom the session belongs to, for good. From here on a new configuration
// can end the session.
func (s *session) identify(account model.AccountID, key conf.KeyID, anonymous bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account, s.key, s.anonymous = account, key, anonymous
}

// identified reports whether identify has been called.
func (s *session) identified() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.account != ""
}

func (s *session) askPassword() (string, error) {
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return "", err
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", err
	}
	m, err := s.backend.Receive()
	if err != nil {
		return "", err
	}
	password, ok := m.(*pgproto3.PasswordMessage)
	if !ok {
		return "", fmt.Errorf("got %T", m)
	}
	return strings.Clone(password.Password), nil
}

// welcome tells the caller what drivers want to know before the first statement.
func (s *session) welcome() error {
	secret := s.makeCancelKey()
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"},
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: secret})
	return s.ready()
}

// makeCancelKey sets the pair by which the caller can ask to stop a statement.
func (s *session) makeCancelKey() []byte {
	secret := binary.BigEndian.AppendUint32(nil, rand.Uint32())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pid, s.secret = s.server.nextPID.Add(1), secret
	return secret
}
