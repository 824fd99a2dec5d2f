// Package group is a stand-in for groups of backend servers, in memory: one primary and
// its replicas a service, a log of commits that replicas receive and apply late, slots,
// connections that belong to accounts, promotion, and the faults that a test asks for.
// It also judges what it is asked to run.
package group

import (
	"fmt"
	"sync"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
)

// Config holds the parts of a group.
type Config struct {
	// Service is the group's name.
	Service model.ServiceID
	// Servers are the group's servers. The first leads.
	Servers []plan.Server
	// Work is the time that a statement holds a slot.
	Work time.Duration
	// Lag is the time after which a replica applies what it has received.
	Lag time.Duration
	// Connections is the number of connections that one server takes.
	Connections int
}

// Write is one write of the log.
type Write struct {
	// ID is the request's identifier.
	ID string
	// Text is the statement.
	Text string
	// Point is the commit's place in the log.
	Point model.Point
}

// commit is one commit of the log.
type commit struct {
	point  model.Point
	at     time.Time
	writes []Write
}

// Group is one service.
type Group struct {
	config Config

	mu      sync.Mutex
	servers map[model.ServerID]*Server
	term    model.Term
	// counts are the runs of each request's statement.
	counts map[string]int
	// broken are the rules that were broken.
	broken []string
}

// Server is one backend server.
type Server struct {
	group   *Group
	entry   plan.Server
	slots   chan struct{}
	log     []commit
	primary bool
	term    model.Term
	down    bool
	// deaf servers receive nothing, nor do paused ones.
	deaf, paused bool
	lag          time.Duration
	sessions     map[*Session]struct{}
	// silent statements get no answer; so many are still to come.
	silent int
}

// New returns a group whose first server leads term 1.
func New(c Config) *Group {
	g := &Group{config: c, servers: map[model.ServerID]*Server{}, term: 1, counts: map[string]int{}}
	for i, entry := range c.Servers {
		g.servers[entry.ID] = &Server{
			group: g, entry: entry, slots: make(chan struct{}, max(entry.Slots, 1)), primary: i == 0, term: 1, lag: c.Lag, sessions: map[*Session]struct{}{},
		}
	}
	return g
}

// Server returns the server with the id, or nil.
func (g *Group) Server(id model.ServerID) *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id]
}

// Primary returns the server that leads.
func (g *Group) Primary() (model.ServerID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, s := range g.servers {
		if s.primary {
			return id, true
		}
	}
	return "", false
}

// Promote makes a server lead the next term with what it has received. It returns false
// when the server is down.
func (g *Group) Promote(id model.ServerID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	chosen, ok := g.servers[id]
	if !ok || chosen.down {
		return false
	}
	if chosen.primary {
		return true
	}
	g.term++
	for _, s := range g.servers {
		s.primary = s == chosen
		if !s.down {
			s.term = g.term
			s.paused = false
			s.log = append([]commit{}, chosen.log...)
		}
	}
	return true
}

// Runs returns how often a request's statement has run.
func (g *Group) Runs(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts[id]
}

// Log returns the writes that the primary holds.
func (g *Group) Log() []Write {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Write
	for _, s := range g.servers {
		if s.primary {
			for _, c := range s.log {
				out = append(out, c.writes...)
			}
		}
	}
	return out
}

// Broken returns what was asked of the servers against the rules.
func (g *Group) Broken() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string{}, g.broken...)
}

// Busy returns the number of slots that statements hold.
func (s *Server) Busy() int { return len(s.slots) }

// Entry returns what the server says of itself.
func (s *Server) Entry() plan.Server {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	entry := s.entry
	entry.Primary = s.primary
	return entry
}

// Crash ends the server's process, or starts it again with its log.
func (s *Server) Crash(down bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down = down
	if down {
		for session := range s.sessions {
			session.end()
		}
		return
	}
	for _, other := range s.group.servers {
		if other.primary && other != s {
			s.primary = false
			s.term = s.group.term
			s.log = append([]commit{}, other.log...)
		}
	}
}

// SetLag sets the time after which the server applies what it has received.
func (s *Server) SetLag(lag time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.lag = lag
}

// Deafen makes the server receive nothing from now on.
func (s *Server) Deafen() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.deaf = true
}

// Paused reports whether the server has been told to receive nothing.
func (s *Server) Paused() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.paused
}

// Swallow makes the server run so many statements without an answer.
func (s *Server) Swallow(n int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.silent = n
}

// applied returns how much of the log reads see, and its end.
func (s *Server) applied(now time.Time) (int, model.Point) {
	n := len(s.log)
	if !s.primary {
		for n > 0 && now.Sub(s.log[n-1].at) < s.lag {
			n--
		}
	}
	if n == 0 {
		return 0, model.NewPoint(s.term, 0)
	}
	return n, model.NewPoint(max(s.log[n-1].point.Term(), 1), s.log[n-1].point.Pos())
}

// fault notes a broken rule.
func (g *Group) fault(format string, args ...any) {
	g.broken = append(g.broken, fmt.Sprintf(format, args...))
}

// status returns the row of a status.
func (s *Server) status() stmt.Answer {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	received := model.NewPoint(s.term, 0)
	if n := len(s.log); n > 0 {
		received = s.log[n-1].point
	}
	row := fmt.Sprintf("%s %d %d.%d 0 0 0 0", role, s.term, received.Term(), received.Pos())
	return stmt.Answer{Rows: []string{row}, Point: received}
}
