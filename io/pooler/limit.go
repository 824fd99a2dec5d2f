package pooler

import "pomelofork/core/keep"

// SetConnections sets the number of connections that the server accepts, from the configuration in force. Zero means
// that the configuration doesn't say: the last known number holds then, since the service may only be missing for a
// moment. Idle connections above the limit are closed at once, others by Tick.
func (p *Pool) SetConnections(connections int) {
	if connections <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
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
