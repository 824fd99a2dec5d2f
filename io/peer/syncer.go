package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"pomelofork/core/lease"
	"pomelofork/core/model"
	"pomelofork/io/event"
)

// The keys of the store that a fleet uses.
const (
	keyRights = "rights"
	keyConfig = "config"
)

// syncer reads the record of rights and the configuration from the store, and writes
// changes of the members to it.
type syncer struct {
	fleet *Fleet
	wake  chan struct{}

	mu sync.Mutex
	// swapping is true while a swap is in progress, and no swap begins before
	// swapNotBefore. swaps counts the swaps that have begun.
	swapping      bool
	swapNotBefore time.Time
	swaps         uint64
	// storeDown is true if the latest read of the store failed.
	storeDown bool

	// rights and config describe the last complete read of each key.
	rights, config lastRead
	// reads counts the calls of read. Only the goroutine that calls step uses it.
	reads uint64
}

func newSyncer(f *Fleet) *syncer { return &syncer{fleet: f, wake: make(chan struct{}, 1)} }

// step reads the store if this instance should, and the platform's list of instances if it
// is needed.
func (s *syncer) step() {
	if s.shouldReadStore() {
		s.read()
	}
	s.readInstanceList()
}

// readInstanceList reads the platform's list of instances while a member is suspected to
// have failed, and records the members that have ended according to it.
func (s *syncer) readInstanceList() {
	f := s.fleet
	f.mu.Lock()
	now := f.config.Now()
	members := f.leases.Members()
	needed := f.config.Instances != nil && f.tracker.NeedsInstanceList(now, members) &&
		(!f.leases.IsMember() || f.tracker.ReadsStore(now, members))
	f.mu.Unlock()
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.StoreCallTimeout)
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
	for _, m := range f.tracker.ObserveInstanceList(now, f.leases.Members(), listed) {
		f.leases.MarkEnded(now, m)
	}
}

// shouldReadStore reports whether this instance should read the store now. A few instances
// of each failure domain always do. The others get their information from peers, and read
// the store only while they are not members, while the evidence from peers for their
// authority is about to expire, or while the configuration has not been confirmed for the
// validity of evidence.
func (s *syncer) shouldReadStore() bool {
	f := s.fleet
	confirmed := f.ConfigConfirmedAt()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	soon := now.Add(f.config.Timing.Lease.EvidenceValidity / 2)
	return !f.leases.IsMember() || !f.leases.HasAuthority(soon) || f.tracker.ReadsStore(now, f.leases.Members()) ||
		now.Sub(confirmed) > f.config.Timing.Lease.EvidenceValidity
}

// read refreshes both keys. Most reads only ask whether there is a newer revision than the
// last one read, because transferring the whole configuration of a large fleet every
// second would take a megabyte per second. Every fullReadInterval reads, everything is
// read, in case the store was restored to an older state.
func (s *syncer) read() {
	s.reads++
	if s.reads%fullReadInterval == 0 {
		s.rights.set(readResult{})
		s.config.set(readResult{})
	}
	err := s.refreshRights()
	// An unreadable record says nothing about the configuration.
	if (err == nil || errors.Is(err, errUnreadableRecord)) && s.fleet.config.DecodeConfig != nil {
		err = errors.Join(err, s.refreshConfig())
	}
	s.logAvailability(err)
}

// errUnreadableRecord says that the store holds a record of rights that isn't valid.
var errUnreadableRecord = errors.New("unreadable record of rights")

// fullReadInterval is the number of reads of which one is complete.
const fullReadInterval = 60

// refreshRights reads the record of rights if it is newer than the one read last.
func (s *syncer) refreshRights() error {
	f := s.fleet
	last := s.rights.get()
	if last.revision == 0 {
		_, err := s.readRights()
		return err
	}
	sentAt := f.config.Now()
	newer, err := s.newer(keyRights, last.revision)
	if err != nil {
		return err
	}
	if newer {
		_, err = s.readRights()
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leases.AddStoreEpoch(last.epoch, sentAt)
	return nil
}

// refreshConfig reads the configuration if it is newer than the one read last.
func (s *syncer) refreshConfig() error {
	f := s.fleet
	last := s.config.get()
	if last.revision == 0 {
		return s.readConfig()
	}
	sentAt := f.config.Now()
	newer, err := s.newer(keyConfig, last.revision)
	if err != nil {
		return err
	}
	if newer {
		return s.readConfig()
	}
	f.configs.confirmUnchanged(sentAt)
	return nil
}

// newer asks the store whether a key has a newer revision than the given one.
func (s *syncer) newer(key string, revision uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(s.fleet.ctx, s.fleet.config.Timing.StoreCallTimeout)
	defer cancel()
	return s.fleet.config.Store.Newer(ctx, key, revision)
}

// readRights reads the record of rights, applies it and returns the stored item.
func (s *syncer) readRights() (Item, error) {
	f := s.fleet
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.StoreCallTimeout)
	defer cancel()
	sentAt := f.config.Now()
	item, err := f.config.Store.Get(ctx, keyRights)
	if err != nil || item.Revision == 0 {
		return item, err
	}
	r, err := lease.ParseRecord(item.Value)
	if err != nil {
		f.log(event.RightRecordUnreadable, slog.String("error", err.Error()))
		return item, fmt.Errorf("%w: %w", errUnreadableRecord, err)
	}
	f.applyRecord(r)
	s.rights.set(readResult{revision: item.Revision, epoch: r.Epoch})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leases.AddStoreEpoch(r.Epoch, sentAt)
	return item, nil
}

// readConfig reads the configuration and applies it.
func (s *syncer) readConfig() error {
	f := s.fleet
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.StoreCallTimeout)
	defer cancel()
	sentAt := f.config.Now()
	item, err := f.config.Store.Get(ctx, keyConfig)
	if err != nil || item.Revision == 0 {
		return err
	}
	if err := f.configs.applyStored(sentAt, item.Value); err != nil {
		return err
	}
	s.config.set(readResult{revision: item.Revision})
	return nil
}

// logAvailability logs when the store stops answering and when it answers again. err is
// the result of the latest read.
func (s *syncer) logAvailability(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if storeDown := err != nil; storeDown != s.storeDown {
		s.storeDown = storeDown
		if storeDown {
			s.fleet.log(event.RightStoreUnreachable, slog.String("error", err.Error()))
			return
		}
		s.fleet.log(event.RightStoreReachable)
	}
}

// isStoreDown reports whether the latest read of the store failed.
func (s *syncer) isStoreDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeDown
}
