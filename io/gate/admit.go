package gate

import (
	"context"
	"time"

	"pomelofork/core/model"
)

// admit waits for a slot and, unless the stream has pinned a connection already, for a
// connection too.
func (s *stream) admit(ctx context.Context) (grant, *model.Refusal) {
	w := &waiter{account: s.unit.Account, requirements: s.requirements, pinned: s.server, readOnly: s.reads(), grants: make(chan grant, 1)}
	w.requirements.WaitingSince = s.gateway.config.Now()
	if refusal := s.checkOutage(w.requirements.WaitingSince); refusal != nil {
		return grant{}, refusal
	}
	if refusal := s.gateway.enqueue(w, s.unit.Account, s.deadline); refusal != nil {
		return grant{}, refusal
	}
	replicaTimer := time.NewTimer(replicaWait)
	defer replicaTimer.Stop()
	for {
		select {
		case granted := <-w.grants:
			return granted, nil
		case <-replicaTimer.C:
			s.gateway.requestDispatch()
		case <-ctx.Done():
			return grant{}, s.cancelWait(w)
		case <-s.gateway.ctx.Done():
			return grant{}, s.cancelWait(w)
		}
	}
}

// checkOutage refuses a unit that needs the primary if there is none and none is expected
// before the unit's deadline.
func (s *stream) checkOutage(now time.Time) *model.Refusal {
	if s.conn != nil || !s.requirements.PrimaryOnly() {
		return nil
	}
	outage := s.gateway.expectedOutage()
	if outage == 0 || now.Add(outage).Before(s.deadline) {
		return nil
	}
	return noPrimary(s.unit.Service, outage)
}

// cancelWait removes w from the queue and returns the refusal that says why. A grant that
// arrived in the meantime is released.
func (s *stream) cancelWait(w *waiter) *model.Refusal {
	if granted, alreadyGranted := s.gateway.dequeue(w, s.unit.Account); alreadyGranted {
		if granted.conn != nil {
			s.gateway.releaseConn(granted.server, granted.conn, s.gateway.config.Now())
		}
		s.gateway.releaseSlot(granted, s.gateway.config.Now())
	}
	if s.gateway.ctx.Err() != nil {
		return notRun(model.ReasonShuttingDown, string(s.unit.Service))
	}
	if outage := s.gateway.expectedOutage(); outage > 0 {
		return noPrimary(s.unit.Service, outage)
	}
	return notRun(model.ReasonDeadline, string(s.unit.Service))
}
