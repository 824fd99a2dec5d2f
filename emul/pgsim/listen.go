package pgsim

import (
	"context"
	"errors"
	"fmt"
	"net"
)

// errKilled is the cause with which the sessions of a killed server end.
var errKilled = errors.New("server was killed")

// listen opens the server's port and serves it. The caller doesn't hold the lock.
func (s *server) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.id, err)
	}
	s.group.mu.Lock()
	s.listener, s.address = l, l.Addr().String()
	s.group.mu.Unlock()
	s.group.work.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accept(c)
		}
	})
	return nil
}

// accept starts a session for a new connection.
func (s *server) accept(c net.Conn) {
	ctx, cancel := context.WithCancelCause(context.Background())
	one := newSession(ctx, s, &conn{Conn: c, server: s, ctx: ctx}, cancel)
	s.group.mu.Lock()
	dead := s.killed
	if !dead {
		s.sessions[one] = struct{}{}
	}
	s.group.mu.Unlock()
	if dead {
		cancel(errKilled)
		_ = c.Close()
		return
	}
	s.group.work.Go(func() {
		defer func() {
			cancel(nil)
			_ = c.Close()
			s.forget(one)
		}()
		one.run()
	})
}

// forget takes a session off the list.
func (s *server) forget(one *session) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	delete(s.sessions, one)
	if one.admitted {
		s.counters.Connections--
	}
}

// drop closes the port and every connection. The caller holds the lock.
func (s *server) drop() {
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for one := range s.sessions {
		one.end(errKilled)
		_ = one.conn.Close()
	}
}

// admit counts a new connection, or refuses it above the limit.
func (s *server) admit(one *session) error {
	return s.locked(one.ctx, func() error {
		if s.counters.Connections >= s.group.conf.Connections {
			s.counters.ConnectionsRefused++
			return tooMany
		}
		one.admitted = true
		s.counters.Connections++
		s.counters.ConnectionsMax = max(s.counters.ConnectionsMax, s.counters.Connections)
		return nil
	})
}

// cancelRequest cancels the running statement of the session with this key.
func (s *server) cancelRequest(process, secret uint32) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	for one := range s.sessions {
		if one.process == process && one.secret == secret {
			one.cancelStatement()
		}
	}
}
