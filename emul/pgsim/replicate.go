package pgsim

import (
	"time"
)

// heartbeat is how often a replica listens to its primary without news.
const heartbeat = 10 * time.Millisecond

// replicate takes over what the primary has until done is closed.
func (s *server) replicate(done <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-s.wake:
		case <-timer.C:
		}
		s.group.mu.Lock()
		next := s.step(time.Now())
		s.group.mu.Unlock()
		timer.Reset(next)
	}
}

// step receives and applies what is due and returns the time until the next step.
// The caller holds the lock.
func (s *server) step(now time.Time) time.Duration {
	if s.killed || s.frozen {
		return heartbeat
	}
	before, beforeApplied := len(s.log), s.applied
	next := heartbeat
	truncated := false
	if p := s.upstream(); p != nil {
		if p.promised > s.promised {
			s.promise(p.promised)
		}
		s.deposed, s.heard = false, now
		var wait time.Duration
		truncated, wait = s.receive(p, now)
		next = min(next, wait)
	}
	for s.applied < len(s.log) && !now.Before(s.log[s.applied].held.Add(s.applyLag)) {
		s.applyUpTo(s.applied + 1)
	}
	if s.applied < len(s.log) {
		next = min(next, s.log[s.applied].held.Add(s.applyLag).Sub(now))
	}
	if truncated || len(s.log) != before || s.applied != beforeApplied {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return max(next, 0)
}

// upstream returns the newest primary that the server hears and may follow, or nil.
func (s *server) upstream() *server {
	if s.cut {
		return nil
	}
	var best *server
	for _, p := range s.group.servers {
		if p == s || !p.primary || p.silent() || s.cutFrom[p.id] || p.cutFrom[s.id] || p.promised < s.promised {
			continue
		}
		if best == nil || p.promised > best.promised {
			best = p
		}
	}
	return best
}

// receive takes the entries of p that have travelled long enough, and says whether
// it dropped own ones that differ and when the next entry will have arrived.
func (s *server) receive(p *server, now time.Time) (truncated bool, next time.Duration) {
	match := min(len(s.log), len(p.log))
	for match > 0 && s.log[match-1].term != p.log[match-1].term {
		match--
	}
	for i := match; i < len(p.log); i++ {
		if due := p.log[i].held.Add(s.receiveLag); now.Before(due) {
			return truncated, due.Sub(now)
		}
		if i < len(s.log) && s.log[i].term != p.log[i].term {
			s.truncate(i)
			truncated = true
		}
		if i >= len(s.log) {
			s.log = append(s.log, entry{term: p.log[i].term, writes: p.log[i].writes, held: now})
		}
	}
	return truncated, heartbeat
}

// truncate drops the entries after index n, also those already applied.
func (s *server) truncate(n int) {
	s.log = s.log[:n:n]
	if s.applied > n {
		s.data, s.applied = newData(), 0
		s.applyUpTo(n)
	}
}

// applyUpTo makes reads see the first n entries.
func (s *server) applyUpTo(n int) {
	for ; s.applied < n; s.applied++ {
		for _, w := range s.log[s.applied].writes {
			w.apply(s.data)
		}
	}
}
