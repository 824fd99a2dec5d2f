package pooler

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/ramp"
	"pomelofork/core/stmt"
)

const (
	// coldText says why a statement is refused at a cold server that can't take it in time.
	coldText = "server has just started and takes few statements"
	// notGatewayText says why a statement is refused or a transaction is ended at a cold server if
	// this instance may send it nothing.
	notGatewayText = "server has just started and this instance is not its gateway"
	// lateDivisor is the divisor of the time between target and timeout which gives how long a
	// statement may wait at a cold server beyond its target.
	lateDivisor = 4
)

// Cold sets what entitles this instance to send statements to the server while it is cold. It is to
// be called periodically, before Tick, and when the entry of the server changes.
func (p *Pool) Cold(now time.Time, claim ramp.Claim) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ramp.Update(now, claim, p.server.ColdUntil)
}

// StartUnconfirmed reports whether the server gets less than it could take only because the view hasn't
// been confirmed since it was reached.
func (p *Pool) StartUnconfirmed(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ramp.Unconfirmed(now)
}

// alone reports whether no other connection than the given one is open. The server's process may have
// been started anew while there was none.
func (p *Pool) alone(sc *serverConn) bool {
	for other := range p.conns {
		if other != sc && other.conn != nil {
			return false
		}
	}
	return true
}

// workOf returns how a request depends on the server.
func workOf(r *request) ramp.Work {
	switch {
	case r.continuesTransaction():
		return ramp.Open
	case r.order.AnyServerMayRun():
		return ramp.Movable
	default:
		return ramp.Bound
	}
}

// startsOf returns about how many commands a request needs on a connection that has the caller's
// values already.
func startsOf(r *request) int {
	count := 1
	if r.order.Begin != stmt.OpPass {
		count++
	}
	if r.order.Prove {
		count += 2
	}
	return count
}

// maxWait returns how much longer bound work may wait for its turn.
func maxWait(now time.Time, r *request) time.Duration {
	timeLeft := r.deadline.Sub(now)
	targetLeft := timeLeft - (r.order.Timeout - r.order.Target)
	return max(targetLeft, 0) + max(timeLeft-max(targetLeft, 0), 0)/lateDivisor
}

// fits reports whether a request can be started now: there is a connection for it, and the server can
// take its commands.
func (p *Pool) fits(now time.Time, r *request) bool {
	sc := p.connFor(r)
	return sc != nil && p.ramp.Allows(now, workOf(r), sc.starts(r.order))
}

// admitCold decides whether a request may wait at the server as long as that is cold. If not, it
// returns the time after which to retry.
func (p *Pool) admitCold(now time.Time, r *request) (time.Duration, bool) {
	if !p.ramp.Cold(now) {
		return 0, true
	}
	queued := 0
	p.queue.Each(func(other *request) { queued += startsOf(other) })
	return p.ramp.Admit(now, workOf(r), queued, startsOf(r), maxWait(now, r))
}

// refuseCold returns the result of a request that a cold server can't take in time.
func (p *Pool) refuseCold(after time.Duration) stmt.Result {
	p.coldRefused()
	result := refused(stmt.CodeBusy, coldText, max(after, time.Millisecond))
	result.Wait = after
	return result
}

// shedCold refuses the queued requests that the server can't take in time, for example because it
// became cold after they were queued, or another instance is its gateway.
func (p *Pool) shedCold(now time.Time) {
	if !p.ramp.Cold(now) {
		return
	}
	queued, shed := 0, 0
	p.queue.Remove(func(r *request) bool {
		after, ok := p.ramp.Admit(now, workOf(r), queued, startsOf(r), maxWait(now, r))
		if ok {
			queued += startsOf(r)
			return false
		}
		shed++
		r.result <- p.refuseCold(after)
		return true
	})
	for key, sc := range p.transactions {
		if !p.ramp.Permits(now, ramp.Open) && sc.execution == nil && p.waits(key) {
			p.discard(sc)
		}
	}
	if shed > 0 {
		p.log.LogAttrs(context.Background(), slog.LevelInfo, "queued statements refused, the server is cold", slog.String("server", string(p.server.ID)), slog.Int("statements", shed))
	}
}

// waits reports whether a request of the transaction is queued.
func (p *Pool) waits(key txKey) bool {
	found := false
	p.queue.Each(func(r *request) { found = found || r.key == key })
	return found
}

// release gives back the room that was kept for commands that haven't been sent.
func (p *Pool) release(e *execution) {
	p.ramp.Release(e.reserved)
	e.reserved = 0
}
