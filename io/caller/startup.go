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

// errClosed means that the caller closed the connection or was told why the session ends.
// It isn't logged.
var errClosed = errors.New("session closed")

// startup negotiates TLS, reads the startup parameters and authenticates the caller. After
// it, the session can run statements.
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
	s.backend.SetMaxBodyLen(maxMessageBytes)
	// Reload skips sessions that are not authenticated yet, so a configuration that came in
	// during the authentication has not been checked.
	s.reload()
	if err := s.conn.SetWriteDeadline(noDeadline); err != nil {
		return errClosed
	}
	return s.sendWelcome()
}

// startupMessage receives the startup message. It answers the requests for encryption that
// may come ahead of it. A CancelRequest takes the place of a startup message and ends the
// session.
func (s *session) startupMessage() (*pgproto3.StartupMessage, error) {
	for {
		m, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, s.failStartup(err)
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			if err := s.answerTLSRequest(); err != nil {
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
			if s.server.config.RequireTLS && !s.encrypted {
				return nil, s.fatal(notRun(model.ReasonBadMessage, "this instance takes TLS connections only"))
			}
			return m, nil
		}
	}
}

// failStartup tells the caller that its startup message is malformed. If the connection was
// closed instead, as by a port scan or the probe of a load balancer, it does nothing.
func (s *session) failStartup(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errClosed
	}
	if refusal := s.ending(); refusal != nil {
		return s.fatal(refusal)
	}
	return s.fatal(notRun(model.ReasonBadMessage, "startup message: %v", err))
}

// answerTLSRequest accepts or declines a request for TLS. If it accepts, it does the
// handshake.
func (s *session) answerTLSRequest() error {
	if s.server.config.TLS == nil || s.encrypted {
		if _, err := s.conn.Write([]byte{'N'}); err != nil {
			return errClosed
		}
		return nil
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return errClosed
	}
	tlsConn := tls.Server(s.conn, s.server.config.TLS)
	if err := tlsConn.HandshakeContext(s.ctx); err != nil {
		return fmt.Errorf("TLS handshake: %w", err)
	}
	s.useConn(tlsConn)
	s.encrypted = true
	return nil
}

// applyStartup sets service, route, token, timeout and request ID from the startup
// parameters.
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
	if err := checkRequestID(settings[settingRequestID]); err != nil {
		return notRun(model.ReasonBadMessage, "%v", err)
	}
	s.requestID = settings[settingRequestID]
	return nil
}

// chooseRoute sets the session's route and service. An empty name selects the default
// route of the service, its first write route.
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

// authenticate asks the caller for its key and verifies it. It doesn't if the session
// starts on a route that is open to all and the user is no client account. Such an
// anonymous session is charged to the route's account and can use only routes that are
// open to all.
func (s *session) authenticate(config *conf.Config, user model.AccountID) *model.Refusal {
	account, known := config.Account(user)
	route, _ := config.Route(s.route)
	if charged, open := route.ChargedTo(); open && !known {
		s.identify(charged, "", true)
		return nil
	}
	secret, err := s.askPassword()
	if err != nil {
		return notRun(model.ReasonBadMessage, "password message: %v", err)
	}
	if !known {
		return notRun(model.ReasonUnknownAccount, "account %q", user)
	}
	key, state := account.Verify(secret)
	switch state {
	case conf.KeyValid:
		s.identify(user, key, false)
		return nil
	case conf.KeyWithdrawn:
		return notRun(model.ReasonKeyWithdrawn, "account %q", user)
	default:
		return notRun(model.ReasonWrongKey, "account %q", user)
	}
}

// identify sets the account and the key of the session. Only charge changes them afterwards. From
// then on, reload can end the session.
func (s *session) identify(account model.AccountID, key conf.KeyID, anonymous bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account, s.key, s.anonymous = account, key, anonymous
}

// charge has an anonymous session pay for its next unit of work with the account that the route is charged to by
// the configuration in force. That may not be the one at the login: the configuration or the session has changed.
func (s *session) charge(route conf.Route) {
	if charged, open := route.ChargedTo(); s.anonymous && open && charged != s.account {
		s.identify(charged, "", true)
		s.unit.Account = charged
	}
}

// identified reports whether identify has been called.
func (s *session) identified() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.account != ""
}

// askPassword requests the password, which is the secret of a key, and returns it.
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

// sendWelcome ends the startup phase with the parameters that drivers expect ahead of the
// first statement.
func (s *session) sendWelcome() error {
	secret := s.makeCancelKey()
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"},
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: secret})
	return s.sendReady()
}

// makeCancelKey sets the process ID and the secret that a CancelRequest for the session must
// have, and returns the secret.
func (s *session) makeCancelKey() []byte {
	secret := binary.BigEndian.AppendUint32(nil, rand.Uint32())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pid, s.cancelSecret = s.server.nextPID.Add(1), secret
	return secret
}
