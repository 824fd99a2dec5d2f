package pooler

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/ramp"
	"pomelofork/core/stmt"
	"pomelofork/core/trial"
	"pomelofork/core/wait"
)

// hopelessText is added to a refusal whose caller isn't expected to be served by a retry in time.
const hopelessText = "; a retry is not expected to be served in time"

// refusedByQueue returns the result of a statement that the queue refused.
func (p *Pool) refusedByQueue(now time.Time, text string, refusal wait.Refusal) stmt.Result {
	if refusal.Hopeless {
		text += hopelessText
	}
	result := refused(stmt.CodeBusy, text, refusal.RetryAfter)
	result.Wait, result.Waits = refusal.Wait, p.reportedWaits(now)
	return result
}

// countRefusal counts a statement that the queue refused on arrival.
func (p *Pool) countRefusal(refusal wait.Refusal) {
	if refusal.Hopeless {
		p.count("refused_without_retry")
		return
	}
	p.count("refused")
}

// countsOpenings reports whether the opening of connections counts as work of the server.
func (p *Pool) countsOpenings() bool { return p.contended && !p.disabled.Has(trial.OpeningWork) }

// capacity returns the number of statements and openings that may be at the server together. The
// server refuses a statement that finds no slot because connections are being opened.
func (p *Pool) capacity() int {
	if p.countsOpenings() && p.openings() > 0 {
		return p.server.Slots
	}
	return p.server.Slots + extraStatements
}

// openings returns the number of connections that are being opened.
func (p *Pool) openings() int {
	sum := 0
	for _, count := range p.opening {
		sum += count
	}
	return sum
}

// open begins to open a connection for the account of a request. It returns false if there is no
// room for one.
func (p *Pool) open(now time.Time, r *request) bool {
	account := r.order.Account
	if (p.countsOpenings() && p.running >= p.server.Slots) || !p.ramp.Allows(now, ramp.Bound, 1) || !p.makeRoom(now, account) {
		return false
	}
	p.ramp.Send(now, 1)
	p.opening[account]++
	p.queue.SetOpenings(p.openings())
	p.countRunning(now)
	sc := newServerConn(p, account)
	sc.openingSince, sc.openedFor = now, p.queuePriority(r.order)
	p.conns[sc] = struct{}{}
	return true
}

// opened counts an attempt to open a connection that has ended.
func (p *Pool) opened(now time.Time, sc *serverConn) {
	p.opening[sc.account]--
	if p.opening[sc.account] == 0 {
		delete(p.opening, sc.account)
	}
	p.queue.SetOpenings(p.openings())
	p.queue.ObserveOpening(now, sc.openedFor, sc.account, now.Sub(sc.openingSince))
}

// startContended starts the queued requests that can run now, in the order of the queue. A request
// whose account has no connection gets one in its turn once it has waited for a while: as long as
// other requests can run, no slot is left for openings.
func (p *Pool) startContended(now time.Time) {
	waiting := p.waitingByAccount()
	blocked := map[model.AccountID]bool{}
	for p.running < p.capacity() {
		item, ok := p.queue.Peek(now, func(i wait.Item[*request]) bool {
			r := i.Value
			if p.connFor(r) != nil {
				return p.fits(now, r)
			}
			return !blocked[r.order.Account] && p.queue.OpeningDue(now, r.received, i) && p.needsConn(now, r, waiting[r.order.Account])
		})
		if !ok {
			return
		}
		r := item.Value
		sc := p.connFor(r)
		if sc == nil {
			if p.countsOpenings() && p.running >= p.server.Slots {
				// The next slot is for the opening.
				return
			}
			blocked[r.order.Account] = !p.open(now, r)
			continue
		}
		if item, ok = p.queue.Next(now, func(other *request) bool { return other == r }); !ok {
			return
		}
		waiting[r.order.Account]--
		r.item = item
		if refusal, ok := p.refuseStart(now, r); ok {
			// The account isn't charged for a statement that wasn't sent.
			p.queue.Ended(item, 0)
			r.result <- refusal
			continue
		}
		p.start(now, sc, r)
	}
}

// waitingByAccount returns the number of queued requests of each account that are not in a
// transaction.
func (p *Pool) waitingByAccount() map[model.AccountID]int {
	waiting := map[model.AccountID]int{}
	p.queue.Each(func(r *request) {
		if !r.continuesTransaction() {
			waiting[r.order.Account]++
		}
	})
	return waiting
}

// needsConn reports whether another connection is to be opened for an account with the given number
// of queued requests, of which r is one.
func (p *Pool) needsConn(now time.Time, r *request, waiting int) bool {
	if p.evacuated || now.Before(p.nextOpen) || r.continuesTransaction() || !p.mayBegin(r) {
		return false
	}
	account := r.order.Account
	conns := p.opening[account]
	for sc := range p.conns {
		if sc.account == account && sc.tx == (txKey{}) && sc.conn != nil {
			conns++
		}
	}
	return conns < min(waiting, p.server.Slots) && (!p.countsOpenings() || p.queue.WorthOpening(r.order.Class, waiting, conns))
}

// openContended opens connections for the accounts whose queued statements have too few to run on,
// as long as there are slots left.
func (p *Pool) openContended(now time.Time) {
	waiting := p.waitingByAccount()
	blocked := map[model.AccountID]bool{}
	for p.running < p.capacity() {
		item, ok := p.queue.Peek(now, func(i wait.Item[*request]) bool {
			r := i.Value
			return !blocked[r.order.Account] && p.needsConn(now, r, waiting[r.order.Account])
		})
		if !ok {
			return
		}
		blocked[item.Value.order.Account] = !p.open(now, item.Value)
	}
}

// leastUseful returns the idle connection of another account that is closed to make room for one of
// the given account, or nil if there is none: the one that is expected to be used last, and where
// callers compete for the server one of an account without queued requests, if there is one.
func (p *Pool) leastUseful(now time.Time, account model.AccountID) *serverConn {
	var waiting map[model.AccountID]int
	if p.contended {
		waiting = p.waitingByAccount()
	}
	uses := p.usesPerConn(now)
	var best *serverConn
	for sc := range p.conns {
		if !sc.idle() || sc.account == account {
			continue
		}
		if best == nil {
			best = sc
			continue
		}
		wanted, bestWanted := waiting[sc.account] > 0, waiting[best.account] > 0
		less := uses[sc.account] < uses[best.account] || (uses[sc.account] == uses[best.account] && sc.idleFrom.Before(best.idleFrom))
		if (!wanted && bestWanted) || (wanted == bestWanted && less) {
			best = sc
		}
	}
	return best
}

// usesPerConn returns how often each account with connections has recently used the server, for each of
// its connections.
func (p *Pool) usesPerConn(now time.Time) map[model.AccountID]float64 {
	uses := map[model.AccountID]float64{}
	if p.disabled.Has(trial.ConnectionDemand) {
		return uses
	}
	conns := map[model.AccountID]int{}
	for sc := range p.conns {
		conns[sc.account]++
	}
	for account, n := range conns {
		uses[account] = p.demand.Uses(now, account) / float64(n)
	}
	return uses
}

// releaseIfMoved rejects the queued requests when another instance has become the one that should
// hold the server's connections. They have not run, and that instance serves them sooner.
func (p *Pool) releaseIfMoved(holder bool) {
	moved := p.holder && !holder
	p.holder = holder
	if !moved || !p.contended {
		return
	}
	released := 0
	p.queue.Remove(func(r *request) bool {
		if r.continuesTransaction() {
			return false
		}
		released++
		p.count("moved")
		r.result <- refused(stmt.CodeMoved, "another instance holds the server's connections", 0)
		return true
	})
	p.log.LogAttrs(context.Background(), slog.LevelInfo, "another instance should hold the server's connections, releasing the queued statements",
		slog.String("server", string(p.server.ID)), slog.Int("statements", released))
}
