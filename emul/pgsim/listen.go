package pgsim

import (
	"context"
	"errors"
	"fmt"
	"net"
)

// errKilled is the cancellation cause of the sessions of a killed server.
var errKilled = errors.New("server was killed")

// listen opens the server's port and accepts connections in a goroutine of the group until
// the listener is closed. The caller doesn't hold the lock.
func (s *server) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.id, err)
	}
	s.group.mu.Lock()
	s.listener, s.address = l, l.Addr().String()
	s.group.mu.Unlock()
	s.group.goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.startSession(c)
		}
	})
	return nil
}

// startSession runs a session for a new connection in a goroutine of the group. It closes
// the connection if the server has been killed.
func (s *server) startSession(netConn net.Conn) {
	ctx, cancel := context.WithCancelCause(context.Background())
	sess := newSession(ctx, s, &conn{Conn: netConn, server: s, ctx: ctx}, cancel)
	s.group.mu.Lock()
	killed := s.killed
	if !killed {
		s.sessions[sess] = struct{}{}
	}
	s.group.mu.Unlock()
	if killed {
		cancel(errKilled)
		_ = netConn.Close()
		return
	}
	s.group.goroutines.Go(func() {
		defer func() {
			cancel(nil)
			_ = netConn.Close()
			s.removeSession(sess)
		}()
		sess.run()
	})
}

// removeSession removes an ended session from the server's sessions, and from the count of
// open connections.
func (s *server) removeSession(sess *session) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	delete(s.sessions, sess)
	if sess.admitted {
		s.counters.Connections--
	}
}

// closeAll closes the port and every connection, and ends the sessions with errKilled. The
// caller holds the lock.
func (s *server) closeAll() {
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for sess := range s.sessions {
		sess.cancel(errKilled)
		_ = sess.conn.Close()
	}
}

// admit counts a new connection, or refuses it if the server has as many connections as it
// accepts.
func (s *server) admit(sess *session) error {
	return s.withLock(sess.ctx, func() error {
		if s.counters.Connections >= s.group.conf.Connections {
			s.counters.ConnectionsRefused++
			return errTooManyConnections
		}
		sess.admitted = true
		s.counters.Connections++
		s.counters.ConnectionsMax = max(s.counters.ConnectionsMax, s.counters.Connections)
		return nil
	})
}

// cancelRequest cancels the running statement of the session with the given process ID and
// secret, if there is one.
func (s *server) cancelRequest(process, secret uint32) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	for sess := range s.sessions {
		if sess.processID == process && sess.cancelSecret == secret {
			sess.cancelStatement()
		}
	}
}
