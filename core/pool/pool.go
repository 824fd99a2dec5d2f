package pool

import "time"

// Pool holds connections of type C. It is not safe for concurrent use.
type Pool[C any] struct {
	limit int
	// idle holds the idle connections in the order in which they became idle.
	idle       []idleConn[C]
	open       int
	opening    int
	retryPause time.Duration
	// notBefore is the time before which no connection is opened.
	notBefore time.Time
}

// idleConn is an idle connection and the time from which it has been idle.
type idleConn[C any] struct {
	conn  C
	since time.Time
}

// Config holds the settings of a Pool.
type Config struct {
	// Limit is the largest number of connections that may be open or being opened.
	Limit int
	// RetryPause is the time after a failure to open a connection during which no other is
	// opened.
	RetryPause time.Duration
}

// New returns an empty pool.
func New[C any](c Config) *Pool[C] {
	return &Pool[C]{limit: c.Limit, retryPause: c.RetryPause}
}

// Idle returns the number of idle connections.
func (p *Pool[C]) Idle() int { return len(p.idle) }

// Open returns the number of open connections, idle or in use.
func (p *Pool[C]) Open() int { return p.open }

// Opening returns the number of connections being opened.
func (p *Pool[C]) Opening() int { return p.opening }

// InUse returns the number of open connections that are not idle.
func (p *Pool[C]) InUse() int { return p.open - len(p.idle) }

// MayOpen reports whether another connection may be opened now: the limit is not reached
// and no pause after a failure is running.
func (p *Pool[C]) MayOpen(now time.Time) bool {
	return p.open+p.opening < p.limit && !now.Before(p.notBefore)
}

// BeginOpen counts a connection that the caller is about to open. Either Opened or
// OpenFailed must follow.
func (p *Pool[C]) BeginOpen() { p.opening++ }

// Opened adds a new connection to the idle ones. It ends what BeginOpen began.
func (p *Pool[C]) Opened(now time.Time, conn C) {
	p.opening--
	p.open++
	p.idle = append(p.idle, idleConn[C]{conn: conn, since: now})
}

// OpenFailed records that a connection could not be opened, and returns the time before
// which no other is opened. It ends what BeginOpen began.
func (p *Pool[C]) OpenFailed(now time.Time) time.Time {
	p.opening--
	p.notBefore = now.Add(p.retryPause)
	return p.notBefore
}

// Acquire removes and returns the idle connection that was used last among those that
// prefer accepts, or that was used last of all if it accepts none. It returns false when
// no connection is idle.
func (p *Pool[C]) Acquire(prefer func(C) bool) (C, bool) {
	if len(p.idle) == 0 {
		var none C
		return none, false
	}
	at := len(p.idle) - 1
	for i := at; i >= 0; i-- {
		if prefer(p.idle[i].conn) {
			at = i
			break
		}
	}
	conn := p.idle[at].conn
	p.idle = append(p.idle[:at], p.idle[at+1:]...)
	return conn, true
}

// Release returns an acquired connection to the pool. Its state must be clean.
func (p *Pool[C]) Release(now time.Time, conn C) {
	p.idle = append(p.idle, idleConn[C]{conn: conn, since: now})
}

// Discard records that an acquired connection was closed.
func (p *Pool[C]) Discard() { p.open-- }

// Expire removes and returns the connections that have been idle since before the given
// time, the oldest first, but leaves keep idle ones. The caller closes them.
func (p *Pool[C]) Expire(before time.Time, keep int) []C {
	var out []C
	for len(p.idle) > keep && p.idle[0].since.Before(before) {
		out = append(out, p.idle[0].conn)
		p.idle = p.idle[1:]
		p.open--
	}
	return out
}

// Clear removes and returns every idle connection. The caller closes them.
func (p *Pool[C]) Clear() []C {
	out := make([]C, 0, len(p.idle))
	for _, each := range p.idle {
		out = append(out, each.conn)
	}
	p.open -= len(p.idle)
	p.idle = nil
	return out
}
