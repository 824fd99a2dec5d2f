package pooler

import (
	"time"

	"pomelofork/core/keep"
)

// SetLimits sets the number of connections that the server accepts, and the longest time between two statements of a
// transaction, from the configuration in force. Zero connections mean that it doesn't say: the last known number holds
// then, since the service may only be missing for a moment. Idle connections above the limit are closed at once, others
// by Tick.
func (p *Pool) SetLimits(connections int, maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxIdle = maxIdle; connections <= 0 {
		return
	}
	p.limit = keep.Usable(connections)
	p.trim()
}

// trim closes idle connections above the limit. The caller holds the lock.
func (p *Pool) trim() {
	for sc := range p.conns {
		if len(p.conns) <= p.limit {
			return
		}
		if sc.idle() {
			p.discard(sc)
		}
	}
}
