package link

import (
	"context"
	"net"
	"sync"
)

// Server accepts connections of other instances and runs their units of work at the
// gateways of this instance.
type Server struct {
	config ServerConfig
	ctx    context.Context
	stop   context.CancelFunc
	// draining is closed by Drain.
	draining  chan struct{}
	drainOnce sync.Once
	work      sync.WaitGroup
	// permits has one element for each open connection, up to MaxConnections.
	permits chan struct{}
}

// NewServer starts accepting connections. Close stops the server.
func NewServer(c ServerConfig) *Server {
	if c.MaxConnections <= 0 {
		c.MaxConnections = DefaultServerConnections
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		config: c, ctx: ctx, stop: stop,
		draining: make(chan struct{}),
		permits:  make(chan struct{}, c.MaxConnections),
	}
	s.work.Go(func() {
		for {
			conn, err := c.Listener.Accept()
			if err != nil {
				return
			}
			s.serve(conn)
		}
	})
	return s
}

// serve starts serving a connection, or closes it if the maximum of connections is
// open.
func (s *Server) serve(conn net.Conn) {
	select {
	case s.permits <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	s.work.Go(func() {
		defer func() { <-s.permits }()
		newServerConn(s, conn).run()
	})
}

// Drain stops accepting connections. It tells each client that this instance is
// shutting down as soon as the connection has no open unit, and ends the connection.
// It returns when all connections are closed, or with ctx's error.
func (s *Server) Drain(ctx context.Context) error {
	s.drainOnce.Do(func() {
		close(s.draining)
		_ = s.config.Listener.Close()
	})
	finished := make(chan struct{})
	go func() {
		s.work.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops the server at once and closes all connections with their streams.
func (s *Server) Close() {
	s.stop()
	_ = s.config.Listener.Close()
	s.work.Wait()
}
