package peer

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/lease"
	"pomelofork/core/model"
	"pomelofork/io/event"
)

// leavePollInterval is the time between two checks of the progress of Leave.
const leavePollInterval = 20 * time.Millisecond

// Leave hands all rights over, waits until the new holders have acquired them, and removes
// this instance from the members. It returns an error if ctx ends or the fleet is closed
// before that. Take still works until Close.
func (f *Fleet) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	err := f.leaveStep(ctx, f.isMarkedLeaving, f.markLeaving)
	if err == nil {
		err = f.leaveStep(ctx, f.handedOver, func() {})
	}
	if err == nil {
		err = f.leaveStep(ctx, f.mayStop, f.removeSelf)
	}
	if err == nil {
		err = f.awaitLastHeartbeats(ctx)
	}
	if err != nil {
		f.log(event.RightLeaveIncomplete, slog.String("error", err.Error()))
		return err
	}
	f.log(event.RightFleetLeft)
	return nil
}

// leaveStep calls try repeatedly until done returns true. It returns an error if ctx ends
// or the fleet is closed before that.
func (f *Fleet) leaveStep(ctx context.Context, done func() bool, try func()) error {
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for !done() {
		try()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-f.ctx.Done():
			return f.ctx.Err()
		}
	}
	return nil
}

// isMarkedLeaving reports whether the record shows that this instance is leaving, or that
// it is not a member.
func (f *Fleet) isMarkedLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.leases.FindMember(f.self.Instance)
	return f.leases.Epoch() > 0 && (!ok || !m.Is(f.self) || m.Leaving)
}

// markLeaving tries to mark this instance as leaving in the record.
func (f *Fleet) markLeaving() {
	leaving := f.self
	leaving.Leaving = true
	f.tryChange(lease.Change{Put: []Member{leaving}})
}

// handedOver reports whether no right waits to be acquired by its new holder. Rights that
// no member can acquire do not count.
func (f *Fleet) handedOver() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.issuers.PendingHandovers(f.config.Now())) == 0
}

// awaitLastHeartbeats keeps answering heartbeats for two heartbeat intervals, because in a
// small fleet the other members need the confirmation that this instance knows the epoch
// without it.
func (f *Fleet) awaitLastHeartbeats(ctx context.Context) error {
	select {
	case <-time.After(2 * f.config.Timing.HeartbeatInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-f.ctx.Done():
		return f.ctx.Err()
	}
}

// mayStop reports whether this instance may stop. Once it may, the instance proposes no
// further changes of the members.
func (f *Fleet) mayStop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := f.leases.MayStop()
	f.left = f.left || allowed
	return allowed
}

// removeSelf tries to remove this instance from the record.
func (f *Fleet) removeSelf() {
	f.tryChange(lease.Change{Remove: []model.InstanceID{f.self.Instance}})
}

// tryChange tries to write a change of the members to the store, if the newest epoch is
// settled.
func (f *Fleet) tryChange(change lease.Change) {
	f.mu.Lock()
	settled, epoch := f.leases.Settled(), f.leases.Epoch()
	f.mu.Unlock()
	if !settled || !f.syncer.beginSwap() {
		return
	}
	defer f.syncer.endSwap()
	if err := f.syncer.swap(change, epoch); err != nil {
		f.log(event.RightMembersNotChanged, slog.String("error", err.Error()))
		f.syncer.delaySwaps(f.config.Timing.HeartbeatInterval)
	}
}
