package link

import (
	"context"
	"net"
	"sync"
)

// Server takes lanes of other instances for the gateways of this one.
type Server struct {
	config   ServerConfig
	ctx      context.Context
	stop     context.CancelFunc
	draining chan struct{}
	drain    sync.Once
	work     sync.WaitGroup
	places   chan struct{}
}

// NewServer starts to take connections. Close ends the server.
func NewServer(c ServerConfig) *Server {
	if c.Limit <= 0 {
		c.Limit = DefaultServerLimit
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		config: c, ctx: ctx, stop: stop,
		draining: make(chan struct{}),
		places:   make(chan struct{}, c.Limit),
	}
	s.work.Go(func() {
		for {
			conn, err := c.Listener.Accept()
			if err != nil {
				return
			}
			s.take(conn)
		}
	})
	return s
}

// take serves a connection when there is a place for it.
func (s *Server) take(conn net.Conn) {
	select {
	case s.places <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	s.work.Go(func() {
		defer func() { <-s.places }()
		newSession(s, conn).run()
	})
}

// Drain takes no new connection and says goodbye on each one as soon as it has no
// open lane. It returns when all are gone or ctx has ended.
func (s *Server) Drain(ctx context.Context) error {
	s.drain.Do(func() {
		close(s.draining)
		_ = s.config.Listener.Close()
	})
	gone := make(chan struct{})
	go func() {
		s.work.Wait()
		close(gone)
	}()
	select {
	case <-gone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends the server. Open lanes are closed.
func (s *Server) Close() {
	s.stop()
	_ = s.config.Listener.Close()
	s.work.Wait()
}
