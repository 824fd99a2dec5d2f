package pgsim

import (
	"time"
)

// heartbeatInterval is the time between two contacts of a replica with its primary while
// the log doesn't change.
const heartbeatInterval = 10 * time.Millisecond

// replicate copies the log of the primary until done is closed.
func (s *server) replicate(done <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-s.replicateNow:
		case <-timer.C:
		}
		s.group.mu.Lock()
		next := s.replicateStep(time.Now())
		s.group.mu.Unlock()
		timer.Reset(next)
	}
}

// replicateStep receives and applies the entries that are due, and returns the time until
// the next step. The caller holds the lock.
func (s *server) replicateStep(now time.Time) time.Duration {
	if s.killed || s.frozen {
		return heartbeatInterval
	}
	before, beforeApplied := len(s.log), s.applied
	next := heartbeatInterval
	truncated := false
	if p := s.upstream(); p != nil {
		if p.promised > s.promised {
			s.raisePromisedTerm(p.promised)
		}
		s.fencedPrimary, s.lastPrimaryContact = false, now
		var wait time.Duration
		truncated, wait = s.receiveEntries(p, now)
		next = min(next, wait)
	}
	for s.applied < len(s.log) && !now.Before(s.log[s.applied].receivedAt.Add(s.applyLag)) {
		s.applyUpTo(s.applied + 1)
	}
	if s.applied < len(s.log) {
		next = min(next, s.log[s.applied].receivedAt.Add(s.applyLag).Sub(now))
	}
	if truncated || len(s.log) != before || s.applied != beforeApplied {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return max(next, 0)
}

// upstream returns the primary of the highest term that the server can reach and may
// follow, or nil. It may not follow a primary of a term below the one that it has promised.
// The caller holds the lock.
func (s *server) upstream() *server {
	if s.cut {
		return nil
	}
	var best *server
	for _, p := range s.group.servers {
		if p == s || !p.primary || p.unreachable() || s.cutFrom[p.id] || p.cutFrom[s.id] || p.promised < s.promised {
			continue
		}
		if best == nil || p.promised > best.promised {
			best = p
		}
	}
	return best
}

// receiveEntries copies the entries of primary p whose receive lag is over. It returns
// whether the server discarded entries of its own that the primary doesn't have, and the
// time until the next entry arrives. The caller holds the lock.
func (s *server) receiveEntries(p *server, now time.Time) (truncated bool, next time.Duration) {
	common := min(len(s.log), len(p.log))
	for common > 0 && s.log[common-1].term != p.log[common-1].term {
		common--
	}
	for i := common; i < len(p.log); i++ {
		if due := p.log[i].receivedAt.Add(s.receiveLag); now.Before(due) {
			return truncated, due.Sub(now)
		}
		if i < len(s.log) && s.log[i].term != p.log[i].term {
			s.truncate(i)
			truncated = true
		}
		if i >= len(s.log) {
			s.log = append(s.log, logEntry{term: p.log[i].term, writes: p.log[i].writes, receivedAt: now})
		}
	}
	return truncated, heartbeatInterval
}

// truncate discards all entries after the first n. If some of them have been applied, it
// rebuilds the data from the remaining entries.
func (s *server) truncate(n int) {
	s.log = s.log[:n:n]
	if s.applied > n {
		s.data, s.applied = newData(), 0
		s.applyUpTo(n)
	}
}

// applyUpTo applies the log up to and including its first n entries, so that reads see
// them.
func (s *server) applyUpTo(n int) {
	for ; s.applied < n; s.applied++ {
		for _, w := range s.log[s.applied].writes {
			w.apply(s.data)
		}
	}
}
