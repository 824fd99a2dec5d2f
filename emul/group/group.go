// Package group emulates groups of backend servers in memory. A group serves one service
// with a primary and replicas that receive its log at once and apply it with a lag. The
// servers have slots and connections that belong to client accounts, and a replica can be
// promoted. Tests can inject faults. The package also records a violation if a write takes
// effect more than once, or if a command has fields that a server could split or take for others.
package group

import (
	"fmt"
	"sync"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
)

// Config holds the settings of a group.
type Config struct {
	// Service is the service that the group serves.
	Service model.ServiceID
	// Servers are the group's servers. The first one is the primary at the start.
	Servers []plan.Server
	// StatementCost is the time for which a caller's statement occupies a slot before it
	// runs.
	StatementCost time.Duration
	// ApplyLag is the time from a commit until reads of a replica see it.
	ApplyLag time.Duration
	// Connections is the number of connections that one server accepts. Zero means no
	// limit.
	Connections int
}

// Write is one write in the log.
type Write struct {
	// ID is the identifier of the request.
	ID string
	// Text is the name of the item and the value that the statement writes, with a space
	// between them.
	Text string
	// Point is the log point of the commit.
	Point model.Point
}

// commit is one entry of the log: the writes of one transaction.
type commit struct {
	point  model.Point
	at     time.Time
	writes []Write
}

// Group is the group of backend servers of one service.
type Group struct {
	config Config

	mu      sync.Mutex
	servers map[model.ServerID]*Server
	term    model.Term
	// promotedAt is when a server was last promoted, or zero.
	promotedAt time.Time
	// runCounts holds the number of runs of statements by the identifier of the request.
	runCounts map[string]int
	// executions holds the statements that each request ran, by its identifier.
	executions map[string][]Execution
	// violations are the messages that Violations returns.
	violations []string
}

// Server is one backend server. Group.mu guards its state.
type Server struct {
	group        *Group
	registration plan.Server
	slots        chan struct{}
	commits      []commit
	primary      bool
	term         model.Term
	down         bool
	// A server receives no log entries after CutReplication, and while held is the term of an OpPause.
	replicationCut bool
	held           model.Term
	// cutOff is true while the server exchanges nothing with the others of its group.
	cutOff   bool
	applyLag time.Duration
	sessions map[*Session]struct{}
	// answersToDrop is the number of answers that DropAnswers still has to drop.
	answersToDrop int
}

// New returns a group whose first server is primary of term 1.
func New(c Config) *Group {
	g := &Group{config: c, servers: map[model.ServerID]*Server{}, term: 1, runCounts: map[string]int{}, executions: map[string][]Execution{}}
	for i, registration := range c.Servers {
		g.servers[registration.ID] = &Server{
			group: g, registration: registration, slots: make(chan struct{}, max(registration.Slots, 1)), primary: i == 0, term: 1, applyLag: c.ApplyLag, sessions: map[*Session]struct{}{},
		}
	}
	return g
}

// Server returns the server with the given name, or nil if there is none.
func (g *Group) Server(id model.ServerID) *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id]
}

// Primary returns the name of the primary, or false if the group has none. A primary that
// is down remains the primary until Promote.
func (g *Group) Primary() (model.ServerID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.newestPrimary(); s != nil {
		return s.registration.ID, true
	}
	return "", false
}

// newestPrimary returns the primary of the highest term, or nil if the group has none. A
// replaced primary that is cut off doesn't know of it. The caller holds the lock.
func (g *Group) newestPrimary() *Server {
	var newest *Server
	for _, s := range g.servers {
		if s.primary && (newest == nil || s.term > newest.term) {
			newest = s
		}
	}
	return newest
}

// Promote makes a server primary of the next term, and copies its log to all other servers
// that are running and not cut off. It returns false if the server is down or unknown. If the
// server is the primary already, Promote does nothing.
func (g *Group) Promote(id model.ServerID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	chosen, ok := g.servers[id]
	if !ok || chosen.down {
		return false
	}
	if g.newestPrimary() == chosen {
		return true
	}
	g.term++
	g.promotedAt = time.Now()
	for _, s := range g.servers {
		if s.cutOff && s != chosen {
			continue
		}
		s.primary = s == chosen
		if !s.down {
			s.term = g.term
			s.held = 0
			s.commits = append([]commit{}, chosen.commits...)
		}
	}
	return true
}

// PromotedAt returns when a server was last promoted, or the zero time.
func (g *Group) PromotedAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promotedAt
}

// RunCount returns how often a request's statement has run, on all servers together.
func (g *Group) RunCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runCounts[id]
}

// Log returns the writes in the log of the primary, in the order of their commits.
func (g *Group) Log() []Write {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Write
	if s := g.newestPrimary(); s != nil {
		for _, c := range s.commits {
			out = append(out, c.writes...)
		}
	}
	return out
}

// Violations returns one message for each write of a request that took effect again, and for each command
// that a server could take for another one.
func (g *Group) Violations() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string{}, g.violations...)
}

// addViolation records a violation. The caller holds the lock.
func (g *Group) addViolation(format string, args ...any) {
	g.violations = append(g.violations, fmt.Sprintf(format, args...))
}

// statusAnswer returns the answer to a status request. The caller holds the lock.
func (s *Server) statusAnswer() stmt.Answer {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	received := model.NewPoint(s.term, 0)
	if n := len(s.commits); n > 0 {
		received = s.commits[n-1].point
	}
	row := fmt.Sprintf("%s %d %d.%d %d 0 0 0", role, s.term, received.Term(), received.Pos(), s.held)
	return stmt.Answer{Rows: []string{row}, Point: received}
}
