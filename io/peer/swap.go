package peer

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"pomelofork/core/lease"
	"pomelofork/core/member"
	"pomelofork/io/event"
)

// proposeIfDue writes a change of the members to the store in the background if it is this
// instance's turn.
func (s *syncer) proposeIfDue() {
	f := s.fleet
	change, epoch, ok := s.dueChange()
	if !ok || !s.beginSwap() {
		return
	}
	f.spawn(func() {
		defer s.endSwap()
		if err := s.swap(change, epoch); err != nil {
			f.log(event.RightMembersNotChanged, slog.String("error", err.Error()))
			s.delaySwaps(f.config.Timing.HeartbeatInterval)
		}
	})
}

// dueChange returns the change to write now and the epoch that it follows. It returns
// false if there is none.
func (s *syncer) dueChange() (lease.Change, uint64, bool) {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.leases.Record()
	if f.left || !ok {
		// Without a record, the change creates the first one, with this instance as its only
		// member.
		return lease.Change{Put: []Member{f.self}}, 0, !ok && !f.left
	}
	if m, found := r.Member(f.self.Instance); found && m.Incarnation > f.self.Incarnation ||
		f.leaving && !f.leases.IsMember() {
		return lease.Change{}, 0, false
	}
	change, ok := f.tracker.Propose(f.config.Now(), member.RecordState{
		Record: r, Settled: f.leases.Settled(), Ended: f.leases.HasEnded,
	})
	return change, r.Epoch, ok
}

// swap tries to write a change to the store that follows an epoch, which was settled when
// the change was decided. It first reads the record, which shows whether an earlier
// attempt whose answer was lost has taken effect. If there is a newer epoch by now, swap
// does nothing, because that epoch need not be settled.
func (s *syncer) swap(change lease.Change, epoch uint64) error {
	f := s.fleet
	item, err := s.readRights()
	if err != nil {
		return err
	}
	var r lease.Record
	if item.Revision != 0 {
		if r, err = lease.ParseRecord(item.Value); err != nil {
			return err
		}
	}
	if r.Epoch != epoch {
		return nil
	}
	next := r.Next(change, s.changeID())
	text, err := next.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.StoreCallTimeout)
	defer cancel()
	if _, err := f.config.Store.Swap(ctx, keyRights, item.Revision, text); err != nil {
		_, _ = s.readRights()
		return fmt.Errorf("write the record of epoch %d to the store: %w", next.Epoch, err)
	}
	f.log(event.RightMembersChanged, slog.Uint64("epoch", next.Epoch),
		slog.Int("removed", len(change.Remove)), slog.Int("put", len(change.Put)))
	f.applyRecord(next)
	return nil
}

// changeID returns a unique identifier for the next swap.
func (s *syncer) changeID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swaps++
	return fmt.Sprintf("%s/%d/%d", s.fleet.self.Instance, s.fleet.self.Incarnation, s.swaps)
}

// beginSwap returns false if a swap is in progress or may not be tried yet. Otherwise it
// records that one is in progress.
func (s *syncer) beginSwap() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.swapping || s.fleet.config.Now().Before(s.swapNotBefore) {
		return false
	}
	s.swapping = true
	return true
}

func (s *syncer) endSwap() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swapping = false
}

// delaySwaps makes beginSwap return false for the duration d from now.
func (s *syncer) delaySwaps(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swapNotBefore = s.fleet.config.Now().Add(d)
}
