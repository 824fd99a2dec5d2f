package pgsim

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"pomelofork/core/model"
)

// Group is three servers in one process.
type Group struct {
	conf Config
	// mu guards the state of all servers. One lock for all keeps replication, fences
	// and faults simple; the work under it is short.
	mu      sync.Mutex
	servers []*server
	work    sync.WaitGroup
	done    chan struct{}
}

// New starts the group. Server 0 leads at term 1.
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
	for i := range groupSize {
		own := 0
		if port != 0 {
			own = port + i
		}
		s := newServer(g, model.ServerID(fmt.Sprintf("%s-%d", c.Service, i)))
		g.servers = append(g.servers, s)
		if err := s.listen(net.JoinHostPort(host, strconv.Itoa(own))); err != nil {
			g.Close()
			return nil, err
		}
	}
	g.mu.Lock()
	g.servers[0].lead(1, time.Now())
	g.mu.Unlock()
	for _, s := range g.servers {
		g.work.Go(func() { s.replicate(g.done) })
	}
	return g, nil
}

// Address returns where a server listens, as host:port.
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

// Close stops the listeners, drops every connection and waits for all work.
func (g *Group) Close() {
	g.mu.Lock()
	select {
	case <-g.done:
	default:
		close(g.done)
	}
	for _, s := range g.servers {
		s.killed = true
		s.drop()
		s.notify()
	}
	g.mu.Unlock()
	g.work.Wait()
}

// server returns the server with the given name.
func (g *Group) server(id model.ServerID) (*server, bool) {
	for _, s := range g.servers {
		if s.id == id {
			return s, true
		}
	}
	return nil, false
}

// wakeAll lets every server look at its log again. The caller holds the lock.
func (g *Group) wakeAll() {
	for _, s := range g.servers {
		s.notify()
	}
}
