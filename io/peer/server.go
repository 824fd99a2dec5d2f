package peer

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/rpc"
	"sync"
)

// server takes the peers' connections.
type server struct {
	listener net.Listener
	done     sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// newServer starts to serve calls of other instances.
func newServer(listener net.Listener, secure *tls.Config, target *service) (*server, error) {
	handler := rpc.NewServer()
	if err := handler.RegisterName("Peer", target); err != nil {
		return nil, fmt.Errorf("register calls of peers: %w", err)
	}
	if secure != nil {
		listener = tls.NewListener(listener, secure)
	}
	s := &server{listener: listener, conns: map[net.Conn]bool{}}
	s.done.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if !s.track(conn) {
				_ = conn.Close()
				continue
			}
			s.done.Go(func() {
				defer s.forget(conn)
				handler.ServeConn(conn)
			})
		}
	})
	return s, nil
}

// track notes an open connection. It returns false when the server is closed.
func (s *server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

// forget notes that a connection has ended.
func (s *server) forget(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// close ends all connections and waits for what runs.
func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	s.done.Wait()
}
