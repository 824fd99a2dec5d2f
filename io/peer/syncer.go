package peer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"pomelofork/core/lease"
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
