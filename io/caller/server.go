package caller

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pomelofork/core/drain"
	"pomelofork/io/event"
)

// Server serves the callers that connect to one listener.
type Server struct {
	config     Config
	mu         sync.Mutex
	sessions   map[*session]struct{}
	draining   atomic.Bool
	nextPID    atomic.Uint32
	goroutines sync.WaitGroup
	// schedule is that of a planned stop, or nil.
	schedule atomic.Pointer[drain.Stop]
	// usual is how long the batches of each route usually take. mu protects it.
	usual drain.Usual
	// loads counts the units in flight at each gateway, for the choice between gateways.
	loads gatewayLoads
}

// NewServer returns a server that has started to accept callers.
func NewServer(c Config) *Server {
	s := &Server{config: c, sessions: map[*session]struct{}{}}
	s.goroutines.Go(func() {
		for {
			conn, err := c.Listener.Accept()
			if err != nil {
				return
			}
			s.goroutines.Go(func() { s.serve(conn) })
		}
	})
	return s
}

// serve runs the session of one connection until it ends.
func (s *Server) serve(conn net.Conn) {
	sess := newSession(s, conn)
	if !s.register(sess) {
		_ = conn.Close()
		return
	}
	defer s.unregister(sess)
	if err := sess.run(); err != nil {
		event.Log(context.Background(), s.config.Logger, event.SessionFailed,
			slog.String("account", string(sess.account)), slog.String("error", err.Error()))
	}
}

// register adds a session to the open ones. It returns false if the server is stopping, or there are too many.
func (s *Server) register(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() || s.config.Limit.Full(len(s.sessions)) {
		return false
	}
	s.sessions[sess] = struct{}{}
	return true
}

// unregister releases what the session holds and removes it from the open ones.
func (s *Server) unregister(sess *session) {
	sess.end()
	s.mu.Lock()
	delete(s.sessions, sess)
	s.mu.Unlock()
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Reload checks every session against the configuration in force. Call it after each
// change of the configuration. A session whose key was withdrawn ends: at once if no
// statement is running, otherwise after the running statement, which is canceled when
// withdrawalGracePeriod is over. Reload waits for these statements, but no longer than that
// period. Afterwards no statement with a withdrawn key begins.
func (s *Server) Reload() {
	var running []<-chan struct{}
	for _, sess := range s.openSessions() {
		if ended := sess.reload(); ended != nil {
			running = append(running, ended)
		}
	}
	timer := time.NewTimer(withdrawalGracePeriod)
	defer timer.Stop()
	for _, ended := range running {
		select {
		case <-ended:
		case <-timer.C:
			return
		}
	}
}

func (s *Server) openSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for sess := range s.sessions {
		all = append(all, sess)
	}
	return all
}

// Close closes the connection of every session at once and waits until all goroutines of
// the server have ended.
func (s *Server) Close() {
	s.mu.Lock()
	s.draining.Store(true)
	s.mu.Unlock()
	_ = s.config.Listener.Close()
	for _, sess := range s.openSessions() {
		sess.closeConn()
	}
	s.goroutines.Wait()
}
