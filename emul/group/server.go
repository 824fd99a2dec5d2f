package group

import (
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
)

// OccupiedSlots returns the number of slots that statements occupy.
func (s *Server) OccupiedSlots() int { return len(s.slots) }

// Sessions returns the number of open connections.
func (s *Server) Sessions() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return len(s.sessions)
}

// Registration returns the server as it registers itself in the platform's store.
func (s *Server) Registration() plan.Server {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	registration := s.registration
	registration.Primary = s.primary
	return registration
}

// SetDown stops the server and closes its connections, or starts it again with its log. If
// another server has become primary, the restarted server is its replica and gets a copy of
// its log.
func (s *Server) SetDown(down bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down = down
	if down {
		for session := range s.sessions {
			session.endLocked()
		}
		return
	}
	s.followNewest()
}

// receives reports whether the server receives log entries of servers that it reaches. The caller
// holds the lock.
func (s *Server) receives() bool { return !s.down && !s.replicationCut && s.held == 0 }

// followNewest makes the server a replica of the primary, if that is another server. The caller
// holds the lock.
func (s *Server) followNewest() {
	newest := s.group.newestPrimary()
	if newest == nil || newest == s || s.cutOff {
		return
	}
	s.primary, s.term = false, s.group.term
	s.commits = append([]commit{}, newest.commits...)
}

// SetCutOff separates the server from the others of its group, or ends that. Meanwhile it gets
// none of their log, they get none of its, and it doesn't learn that another server was promoted:
// a primary goes on serving those who reach it until OpStepDown. Afterwards it is a replica if
// another server was promoted.
func (s *Server) SetCutOff(cutOff bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.cutOff = cutOff
	if cutOff {
		return
	}
	for _, other := range s.group.servers {
		if other.receives() {
			other.followNewest()
		}
	}
}

// SetApplyLag sets the time from a commit until reads of the server see it, if it is a
// replica.
func (s *Server) SetApplyLag(lag time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.applyLag = lag
}

// CutReplication makes the server receive no further commits. Promote, and SetDown at a
// restart, still copy a whole log to it.
func (s *Server) CutReplication() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.replicationCut = true
}

// Follow ends CutReplication. The server receives what it lacks of the primary's log.
func (s *Server) Follow() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.replicationCut = false
	s.followNewest()
}

// Restart ends the server's process and starts another one. A replica starts with an empty log and
// receives only what is committed from then on; a primary has its log.
func (s *Server) Restart() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	for session := range s.sessions {
		session.endLocked()
	}
	s.down = false
	s.registration.Report.StartedAt = time.UnixMilli(max(s.registration.Report.StartedAt.UnixMilli(), 0) + 1)
	if !s.primary {
		s.commits = nil
	}
}

// Paused reports whether the server has been told by OpPause to receive no log entries.
func (s *Server) Paused() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.held != 0
}

// DropAnswers makes the server run the next n statements of callers without answering them.
// A connection runs no further commands after a dropped answer.
func (s *Server) DropAnswers(n int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.answersToDrop = n
}

// appliedPrefix returns the number of log entries that reads see at a time, and their last
// log point. The caller holds the lock.
func (s *Server) appliedPrefix(now time.Time) (int, model.Point) {
	n := len(s.commits)
	if !s.primary {
		for n > 0 && now.Sub(s.commits[n-1].at) < s.applyLag {
			n--
		}
	}
	if n == 0 {
		return 0, model.NewPoint(s.term, 0)
	}
	return n, model.NewPoint(max(s.commits[n-1].point.Term(), 1), s.commits[n-1].point.Pos())
}
