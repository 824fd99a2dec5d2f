package pgsim

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"pomelofork/core/model"
)

// Group is a group of three servers in one process.
type Group struct {
	conf Config
	// mu guards the state of all servers. A single lock keeps replication, fencing and
	// injected faults simple, and it is never held for long.
	mu         sync.Mutex
	servers    []*server
	goroutines sync.WaitGroup
	done       chan struct{}
}

// New starts the servers of a group, with server 0 as primary of term 1. It fails if the
// address is malformed or a port can't be opened. Call Close to stop the group.
func New(c Config) (*Group, error) {
	g := &Group{conf: c, done: make(chan struct{})}
	host, portText, err := net.SplitHostPort(c.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen address: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("listen port: %w", err)
	}
	for i := range serversPerGroup {
		serverPort := 0
		if port != 0 {
			serverPort = port + i
		}
		s := newServer(g, model.ServerID(fmt.Sprintf("%s-%d", c.Service, i)))
		g.servers = append(g.servers, s)
		if err := s.listen(net.JoinHostPort(host, strconv.Itoa(serverPort))); err != nil {
			g.Close()
			return nil, err
		}
	}
	g.mu.Lock()
	g.servers[0].becomePrimary(1, time.Now())
	g.mu.Unlock()
	for _, s := range g.servers {
		g.goroutines.Go(func() { s.replicate(g.done) })
	}
	return g, nil
}

// Address returns the host:port at which a server listens. It returns false if the group
// has no such server.
func (g *Group) Address(id model.ServerID) (string, bool) {
	s, ok := g.server(id)
	if !ok {
		return "", false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.address, true
}

// IDs returns the names of the servers in order.
func (g *Group) IDs() []model.ServerID {
	ids := make([]model.ServerID, len(g.servers))
	for i, s := range g.servers {
		ids[i] = s.id
	}
	return ids
}

// Close stops the listeners, closes every connection and waits until all goroutines of the
// group have ended. It may be called more than once.
func (g *Group) Close() {
	g.mu.Lock()
	select {
	case <-g.done:
	default:
		close(g.done)
	}
	for _, s := range g.servers {
		s.killed = true
		s.closeAll()
		s.notifyChange()
	}
	g.mu.Unlock()
	g.goroutines.Wait()
}

// server returns the server with the given name, or false if there is none.
func (g *Group) server(id model.ServerID) (*server, bool) {
	for _, s := range g.servers {
		if s.id == id {
			return s, true
		}
	}
	return nil, false
}

// notifyAll signals a change to the waiting calls and the replication loop of every server.
// The caller holds the lock.
func (g *Group) notifyAll() {
	for _, s := range g.servers {
		s.notifyChange()
	}
}
