package pgsim

import (
	"context"
	"sync"
)

// slots limits the number of statements that run concurrently. Further statements wait. The
// counts inServer and maxInServer include the waiting statements.
type slots struct {
	// occupied holds one element for each occupied slot.
	occupied chan struct{}

	mu            sync.Mutex
	inServer      int
	running       int
	maxInServer   int
	maxRunning    int
	statementsRun int64
}

func newSlots(n int) *slots {
	return &slots{occupied: make(chan struct{}, n)}
}

// acquire waits for a slot. It returns the cause if ctx ends first.
func (s *slots) acquire(ctx context.Context) error {
	s.mu.Lock()
	s.inServer++
	s.maxInServer = max(s.maxInServer, s.inServer)
	s.mu.Unlock()
	select {
	case s.occupied <- struct{}{}:
	case <-ctx.Done():
		s.mu.Lock()
		s.inServer--
		s.mu.Unlock()
		return context.Cause(ctx)
	}
	s.mu.Lock()
	s.running++
	s.statementsRun++
	s.maxRunning = max(s.maxRunning, s.running)
	s.mu.Unlock()
	return nil
}

// release frees a slot after a successful acquire.
func (s *slots) release() {
	s.mu.Lock()
	s.running--
	s.inServer--
	s.mu.Unlock()
	<-s.occupied
}

// fillCounters sets the counters of statements in c.
func (s *slots) fillCounters(c *Counters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.StatementsAtOnceMax, c.StatementsWantedMax, c.Statements = s.maxRunning, s.maxInServer, s.statementsRun
}
