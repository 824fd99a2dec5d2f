package peer

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"pomelofork/core/lease"
	"pomelofork/core/member"
	"pomelofork/core/model"
	"pomelofork/io/event"
)

// Keys of the store that a fleet uses.
const (
	keyRights = "rights"
	keyConfig = "config"
)

// syncer reads the store and swaps in changes of the members.
type syncer struct {
	fleet *Fleet
	wake  chan struct{}

	mu       sync.Mutex
	swapping bool
	notUntil time.Time
	swaps    uint64
	down     bool
}

// newSyncer returns a syncer that has read nothing.
func newSyncer(f *Fleet) *syncer { return &syncer{fleet: f, wake: make(chan struct{}, 1)} }

// step reads the store if this instance should.
func (s *syncer) step() {
	if s.needed() {
		s.read()
	}
	s.readList()
}

// readList asks the platform for its list while a member is silent.
func (s *syncer) readList() {
	f := s.fleet
	f.mu.Lock()
	now := f.config.Now()
	members := f.keeper.Members()
	needed := f.config.Instances != nil && f.roll.NeedsList(now, members) &&
		(!f.keeper.Member() || f.roll.Watches(now, members))
	f.mu.Unlock()
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.StoreCall)
	defer cancel()
	list, err := f.config.Instances(ctx)
	if err != nil || len(list) == 0 {
		return
	}
	listed := make(map[model.InstanceID]bool, len(list))
	for _, one := range list {
		listed[one.Instance] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now = f.config.Now()
	for _, m := range f.roll.Listed(now, f.keeper.Members(), listed) {
		f.keeper.Ended(now, m)
	}
}

// needed reports whether this instance should read the store now. Few instances of
// each failure domain do so always. The others hear from peers, and read only while
// they are no members, or while their peers' evidence is about to run out.
func (s *syncer) needed() bool {
	f := s.fleet
	confirmed := f.Confirmed()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	soon := now.Add(f.config.Timing.Lease.Hold / 2)
	return !f.keeper.Member() || !f.keeper.Authority(soon) || f.roll.Watches(now, f.keeper.Members()) ||
		now.Sub(confirmed) > f.config.Timing.Lease.Hold
}

// read reads both keys.
func (s *syncer) read() {
	f := s.fleet
	_, err := s.readRights()
	if err == nil && f.config.DecodeConfig != nil {
		err = s.readConfig()
	}
	s.note(err)
}

// readRights reads the record of rights and learns it. It returns the entry.
func (s *syncer) readRights() (Entry, error) {
	f := s.fleet
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.StoreCall)
	defer cancel()
	asked := f.config.Now()
	entry, err := f.config.Store.Get(ctx, keyRights)
	if err != nil || entry.Revision == 0 {
		return entry, err
	}
	r, err := lease.ParseRecord(entry.Value)
	if err != nil {
		f.log(event.RightRecordBad, slog.String("error", err.Error()))
		return entry, err
	}
	f.learn(r)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keeper.StoreShowed(r.Epoch, asked)
	return entry, nil
}

// readConfig reads the configuration.
func (s *syncer) readConfig() error {
	f := s.fleet
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.StoreCall)
	defer cancel()
	asked := f.config.Now()
	entry, err := f.config.Store.Get(ctx, keyConfig)
	if err != nil || entry.Revision == 0 {
		return err
	}
	return f.spread.stored(asked, entry.Value)
}

// note logs when the store stops and starts to answer.
func (s *syncer) note(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down := err != nil; down != s.down {
		s.down = down
		if down {
			s.fleet.log(event.RightStoreLost, slog.String("error", err.Error()))
			return
		}
		s.fleet.log(event.RightStoreBack)
	}
}

// consider swaps in a change in the background if it is this instance's turn.
func (s *syncer) consider() {
	f := s.fleet
	change, epoch, ok := s.due()
	if !ok || !s.claim() {
		return
	}
	f.spawn(func() {
		defer s.free()
		if err := s.swap(change, epoch); err != nil {
			f.log(event.RightSwapFailed, slog.String("error", err.Error()))
			s.pause(f.config.Timing.Heartbeat)
		}
	})
}

// due returns the change to swap in now, and the epoch that it follows.
func (s *syncer) due() (lease.Change, uint64, bool) {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.keeper.Record()
	if f.left || !ok {
		// Without a record there is nothing to consider but to write the first.
		return lease.Change{Put: []Member{f.self}}, 0, !ok && !f.left
	}
	if m, found := r.Member(f.self.Instance); found && m.Incarnation > f.self.Incarnation ||
		f.leaving && !f.keeper.Member() {
		return lease.Change{}, 0, false
	}
	change, ok := f.roll.Propose(f.config.Now(), member.Standing{
		Record: r, Settled: f.keeper.Settled(), Ended: f.keeper.HasEnded,
	})
	return change, r.Epoch, ok
}

// swap tries to put a change into the store that follows an epoch, which was settled
// when the change was decided. It first reads, so that an earlier try whose answer got
// lost is found, and gives up when there is a newer epoch by now: that one need not be
// settled.
func (s *syncer) swap(change lease.Change, epoch uint64) error {
	f := s.fleet
	entry, err := s.readRights()
	if err != nil {
		return err
	}
	var r lease.Record
	if entry.Revision != 0 {
		if r, err = lease.ParseRecord(entry.Value); err != nil {
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
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.StoreCall)
	defer cancel()
	if _, err := f.config.Store.Swap(ctx, keyRights, entry.Revision, text); err != nil {
		_, _ = s.readRights()
		return fmt.Errorf("swap epoch %d in: %w", next.Epoch, err)
	}
	f.log(event.RightSwapDone, slog.Uint64("epoch", next.Epoch),
		slog.Int("removed", len(change.Remove)), slog.Int("put", len(change.Put)))
	f.learn(next)
	return nil
}

// changeID returns a name for the next swap.
func (s *syncer) changeID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swaps++
	return fmt.Sprintf("%s/%d/%d", s.fleet.self.Instance, s.fleet.self.Incarnation, s.swaps)
}

// claim reports whether a swap may be tried now, and notes one.
func (s *syncer) claim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.swapping || s.fleet.config.Now().Before(s.notUntil) {
		return false
	}
	s.swapping = true
	return true
}

// free notes that no swap is under way.
func (s *syncer) free() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swapping = false
}

// pause puts the next swap off.
func (s *syncer) pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notUntil = s.fleet.config.Now().Add(d)
}
