package peer

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/rpc"
	"sync"
)

// server accepts the connections of peers and serves their calls.
type server struct {
	listener   net.Listener
	goroutines sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// newServer starts to serve calls of peers on a listener, with TLS if secure is not nil.
func newServer(listener net.Listener, secure *tls.Config, target *service) (*server, error) {
	handler := rpc.NewServer()
	if err := handler.RegisterName("Peer", target); err != nil {
		return nil, fmt.Errorf("register the RPC service for peers: %w", err)
	}
	if secure != nil {
		listener = tls.NewListener(listener, secure)
	}
	s := &server{listener: listener, conns: map[net.Conn]bool{}}
	s.goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if !s.addConn(conn) {
				_ = conn.Close()
				continue
			}
			s.goroutines.Go(func() {
				defer s.removeConn(conn)
				handler.ServeConn(conn)
			})
		}
	})
	return s, nil
}

// addConn adds an open connection. It returns false when the server is closed.
func (s *server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *server) removeConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// close stops listening, closes all connections and waits for the calls in progress.
func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	s.goroutines.Wait()
}
