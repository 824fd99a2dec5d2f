package gate

import (
	"time"

	"pomelofork/core/assert"
	"pomelofork/core/drain"
	"pomelofork/core/fair"
	"pomelofork/core/model"
	"pomelofork/core/route"
	"pomelofork/core/term"
	"pomelofork/io/wire"
)

// dispatch grants free slots to waiters in the order of the queue, and requests new
// connections for the servers that have fewer idle ones than free slots. It does nothing
// while the gateway doesn't hold its right.
func (g *Gateway) dispatch() {
	if !g.config.HoldsRight() {
		return
	}
	now := g.config.Now()
	known := g.config.Group.Snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeGroup(now, known)
	g.abortUnreachable(known)
	for g.dispatchOne(now, known) {
		continue
	}
	for id, s := range g.servers {
		g.maintainPool(now, id, s)
	}
}

// observeGroup records whether the group has a primary and which servers are leaving. The
// caller holds the lock.
func (g *Gateway) observeGroup(now time.Time, known term.Snapshot) {
	primary, found := known.Primary()
	g.outage.Observe(now, found)
	for id := range g.servers {
		view, _ := known.Server(id)
		// The primary has to take writes until another server is promoted, even if it is
		// configured as leaving.
		configured := id != primary && g.config.Leaving != nil && g.config.Leaving(id)
		g.leaving.Observe(now, id, view.Leaving || configured)
	}
}

// maintainPool requests connections until there is an idle one for each free slot. If the
// server is leaving, or the gateway is draining and nothing is queued, it closes the idle
// connections instead. The caller holds the lock.
func (g *Gateway) maintainPool(now time.Time, id model.ServerID, s *server) {
	if g.leaving.IsDraining(id) {
		closeAll(s.pool.Clear())
		return
	}
	if g.admission.IsClosed() && g.queue.Len() == 0 {
		closeAll(s.pool.Clear())
		return
	}
	for s.needsConn(now) {
		s.pool.BeginOpen()
		s.openRequests <- struct{}{}
	}
}

// dispatchOne grants a slot to the next waiter in the queue that can be served. It returns
// false if there is none. The caller holds the lock.
func (g *Gateway) dispatchOne(now time.Time, known term.Snapshot) bool {
	item, ok := g.queue.Next(now, func(w *waiter) bool {
		// The queue also calls this for waiters that it doesn't return, so each waiter
		// stores its own pick.
		var fits bool
		w.pick, fits = g.choose(now, known, w)
		return fits
	})
	if !ok {
		return false
	}
	pick := item.Value.pick
	s := g.servers[pick.Server]
	s.occupySlot(now)
	g.config.Check.Hold(!g.leaving.Expired(now, s.id), assert.InvariantDrainingServer, "slot granted at server %s after the time limit for its open transactions", s.id)
	granted := grant{item: item, pick: pick, server: s, grantedAt: now}
	if item.Value.pinned == nil {
		granted.conn = g.acquireConn(s, item.Value)
	}
	item.Value.grants <- granted
	return true
}

// choose returns the server for a waiter, and false if it has to wait.
func (g *Gateway) choose(now time.Time, known term.Snapshot, w *waiter) (route.Pick, bool) {
	if w.pinned != nil {
		return route.Pick{Server: w.pinned.id}, w.pinned.free() > 0
	}
	return g.policy.Choose(now, w.requirements, known, func(id model.ServerID) route.Load {
		s, ok := g.servers[id]
		if !ok || g.leaving.IsDraining(id) || s.connsInUse[w.account] >= s.maxPerAccount {
			return route.Load{}
		}
		return s.load()
	})
}

// acquireConn acquires an idle connection from the server's pool, preferably one that is
// in the mode that w needs. It returns nil if the server has closed all idle connections.
// The caller holds the lock.
func (g *Gateway) acquireConn(s *server, w *waiter) *conn {
	for {
		c, ok := s.pool.Acquire(func(c *conn) bool { return c.readOnly == w.readOnly })
		if !ok {
			return nil
		}
		if c.Reusable() {
			g.config.Check.Hold(c.clean(), assert.InvariantNoMixedTransactions, "idle connection to server %s is not clean", s.id)
			s.countConn(c, w.account)
			c.writes = !w.readOnly
			if c.writes {
				g.activeWrites++
			}
			return c
		}
		c.Close()
		s.pool.Discard()
	}
}

// releaseSlot releases a slot and charges the time that it was in use to the client
// account.
func (g *Gateway) releaseSlot(granted grant, now time.Time) {
	g.mu.Lock()
	granted.server.busySlots--
	g.queue.Charge(now, granted.item, now.Sub(granted.grantedAt))
	g.mu.Unlock()
	g.dispatch()
}

// releaseConn returns a connection to the server's pool after the end of its transaction,
// or closes it if it must not be reused.
func (g *Gateway) releaseConn(s *server, c *conn, now time.Time) {
	keep := c.clean() && g.config.HoldsRight() && g.ctx.Err() == nil
	g.mu.Lock()
	s.uncountConn(c)
	if c.writes {
		c.writes = false
		g.activeWrites--
	}
	if keep {
		s.pool.Release(now, c)
	} else {
		s.pool.Discard()
	}
	g.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// enqueue adds a waiter to the queue. It returns a refusal if the queue doesn't accept it.
func (g *Gateway) enqueue(w *waiter, account model.AccountID, deadline time.Time) *model.Refusal {
	now := g.config.Now()
	g.mu.Lock()
	refusal := g.queue.Add(now, fair.Item[*waiter]{
		Account: account, Deadline: deadline, Urgent: w.pinned != nil, Value: w,
	})
	g.mu.Unlock()
	if refusal == nil {
		g.dispatch()
	}
	return refusal
}

// dequeue removes a waiter from the queue. If the waiter has been granted a slot in the
// meantime, dequeue returns the grant and true.
func (g *Gateway) dequeue(w *waiter, account model.AccountID) (grant, bool) {
	g.mu.Lock()
	wasQueued := g.queue.Remove(account, func(other *waiter) bool { return other == w })
	g.mu.Unlock()
	if wasQueued {
		return grant{}, false
	}
	return <-w.grants, true
}

// expectedOutage returns how long the service is expected to stay without a primary, or
// zero if it has one.
func (g *Gateway) expectedOutage() time.Duration {
	now := g.config.Now()
	_, found := g.config.Group.Snapshot().Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outage.Observe(now, found)
	return g.outage.Remaining(now)
}

// transactionsExpired reports whether open transactions at a server may run no more
// statements, because it has been leaving for longer than leavingTransactionTimeout.
func (g *Gateway) transactionsExpired(id model.ServerID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving.Expired(g.config.Now(), id)
}

// allowsInTransaction reports whether a planned stop of the instance lets a batch of an open transaction run.
func (g *Gateway) allowsInTransaction(batch wire.Batch) bool {
	if g.config.Stopping == nil {
		return true
	}
	schedule := g.config.Stopping()
	if !schedule.Active() {
		return true
	}
	work := drain.WorkContinue
	if wire.EndsTransaction(batch.Messages) {
		work = drain.WorkCommit
	}
	return schedule.Allows(g.config.Now(), work, 0)
}
