package pgsim

import (
	"context"
	"sync"
)

// slots lets a bounded number of statements run at once. The others wait.
type slots struct {
	free chan struct{}

	mu            sync.Mutex
	wanted        int
	running       int
	mostWanted    int
	mostRunning   int
	statementsRun int64
}

func newSlots(n int) *slots {
	return &slots{free: make(chan struct{}, n)}
}

// enter waits for a slot.
func (s *slots) enter(ctx context.Context) error {
	s.mu.Lock()
	s.wanted++
	s.mostWanted = max(s.mostWanted, s.wanted)
	s.mu.Unlock()
	select {
	case s.free <- struct{}{}:
	case <-ctx.Done():
		s.mu.Lock()
		s.wanted--
		s.mu.Unlock()
		return context.Cause(ctx)
	}
	s.mu.Lock()
	s.running++
	s.statementsRun++
	s.mostRunning = max(s.mostRunning, s.running)
	s.mu.Unlock()
	return nil
}

// leave gives the slot back.
func (s *slots) leave() {
	s.mu.Lock()
	s.running--
	s.wanted--
	s.mu.Unlock()
	<-s.free
}

// counts fills in what the slots have counted.
func (s *slots) counts(c *Counters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.StatementsAtOnceMax, c.StatementsWantedMax, c.Statements = s.mostRunning, s.mostWanted, s.statementsRun
}
