package gate

import (
	"context"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/pool"
	"pomelofork/core/route"
)

// server is the state of one backend server at the gateway. Gateway.mu protects it.
type server struct {
	id model.ServerID
	// slots is the gateway's share of the server's slots, of which busySlots are in use.
	slots     int
	busySlots int
	// lastUsed is when a slot was last granted.
	lastUsed time.Time
	pool     *pool.Pool[*conn]
	// connsInUse counts the connections that each client account uses, and maxPerAccount
	// is how many one account may use. It is half of the gateway's connections, so that
	// open transactions of one account leave connections to others, but always enough to
	// fill the slots.
	connsInUse    map[model.AccountID]int
	maxPerAccount int
	// openRequests receives a value for each connection that is to be opened.
	openRequests chan struct{}
	// running holds the attempts that the server is working on.
	running map[*attempt]context.CancelCauseFunc
}

func newServer(s Server, position Position) *server {
	slots, connections := position.shareOf(s.Slots), position.shareOf(s.Connections)-watcherConnections
	return &server{
		id:            s.ID,
		slots:         slots,
		pool:          pool.New[*conn](pool.Config{Limit: connections, RetryPause: connectRetryPause}),
		connsInUse:    map[model.AccountID]int{},
		maxPerAccount: max(slots, connections/2, 1),
		openRequests:  make(chan struct{}, max(1, connections)),

		running: map[*attempt]context.CancelCauseFunc{},
	}
}

// free returns the number of slots that are not in use.
func (s *server) free() int { return s.slots - s.busySlots }

// load returns the server's load for route.Policy. A slot counts as free only if there is
// an idle connection for it.
func (s *server) load() route.Load {
	return route.Load{Free: min(s.free(), s.pool.Idle()), Last: s.lastUsed}
}

// needsConn reports whether another connection should be opened, so that there is an idle
// one for each free slot.
func (s *server) needsConn(now time.Time) bool {
	return s.pool.Idle()+s.pool.Opening() < s.free() && s.pool.MayOpen(now)
}

// occupySlot counts a slot as in use from now on.
func (s *server) occupySlot(now time.Time) {
	s.busySlots++
	s.lastUsed = now
}

// countConn counts an acquired connection for the account that uses it.
func (s *server) countConn(c *conn, account model.AccountID) {
	c.account = account
	s.connsInUse[account]++
}

// uncountConn reverses countConn when the connection is released.
func (s *server) uncountConn(c *conn) {
	if s.connsInUse[c.account]--; s.connsInUse[c.account] == 0 {
		delete(s.connsInUse, c.account)
	}
}
