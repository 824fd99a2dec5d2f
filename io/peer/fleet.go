package peer

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"pomelofork/core/lease"
	"pomelofork/core/limit"
	"pomelofork/core/member"
	"pomelofork/core/model"
	"pomelofork/io/event"
)

// Fleet is this instance's part in the fleet: its knowledge of the other instances, and
// the rights that it holds. Its methods may be called from several goroutines at once.
type Fleet struct {
	config     Config
	self       Member
	links      *links
	server     *server
	handovers  *handovers
	caches     *accountCaches
	heartbeats *heartbeatSender
	configs    *configSync
	syncer     *syncer

	ctx    context.Context
	cancel context.CancelFunc
	// spawnMu makes sure that no goroutine is started after Close has begun.
	spawnMu    sync.Mutex
	goroutines sync.WaitGroup

	// mu guards the fields below and the fields of handovers.
	mu      sync.Mutex
	leases  *lease.Manager
	issuers *limit.IssuerSet
	tracker *member.Tracker
	// hadAuthority is the authority that logAuthority last logged.
	hadAuthority bool
	// leaving is true once Leave has been called.
	leaving bool
	// left is true once this instance may stop. It then proposes no more changes of the
	// members.
	left bool
}

// NewFleet starts this instance's part in the fleet. It returns at once; the instance
// becomes a member and gets rights when the store and the peers have answered. It returns
// an error if the settings are invalid or the listener can't be opened.
func NewFleet(c Config) (*Fleet, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	if c.Listener == nil {
		if c.Listener, err = net.Listen("tcp", c.Self.PeerAddress); err != nil {
			return nil, fmt.Errorf("listen for peers: %w", err)
		}
	}
	if c.Self.PeerAddress == "" {
		c.Self.PeerAddress = c.Listener.Addr().String()
	}
	f := &Fleet{
		config: c, self: c.Self, links: newLinks(c.TLS, c.Now),
		leases: lease.New(lease.Config{Self: c.Self, Timing: c.Timing.Lease}),
		tracker: member.New(member.Config{
			Self: c.Self, SuspectAfter: c.Timing.SuspectAfter, ProposerStep: c.Timing.HeartbeatInterval, EndedAfter: c.Timing.EndedAfter,
		}),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.issuers, f.handovers, f.configs = f.newIssuers(), newHandovers(f), newConfigSync(f)
	f.caches, f.syncer, f.heartbeats = newAccountCaches(f), newSyncer(f), newHeartbeatSender(f)
	if f.server, err = newServer(c.Listener, c.TLS, &service{fleet: f}); err != nil {
		f.cancel()
		return nil, err
	}
	f.runEvery(c.Timing.StorePollInterval, f.syncer.wake, f.syncer.step)
	f.runEvery(c.Timing.HeartbeatInterval, f.heartbeats.wake, f.heartbeats.step)
	f.runEvery(tickInterval, nil, f.caches.tick)
	f.runEvery(offerInterval, f.handovers.wake, f.handovers.step)
	return f, nil
}

// Gateways returns the instances to use for a service now, in the order of rank, without
// those suspected to have failed.
func (f *Fleet) Gateways(service model.ServiceID) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	holders := slices.Clone(f.leases.Assignment().Holders(lease.KindService, string(service)))
	return slices.DeleteFunc(holders, func(m Member) bool { return f.tracker.IsSuspected(now, m) })
}

// Holds returns this instance's rank of the service, the number of ranks, and whether the
// instance may use the rank right now. The caller calls it before and after each step that
// needs the right. An instance that holds both ranks, as in a fleet of one, gets the first
// rank, and 1 as the number of ranks.
func (f *Fleet) Holds(service model.ServiceID) (rank, of int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	var held []int
	for rank := range lease.ServiceRanks {
		if f.leases.Holds(now, lease.ServiceRank(service, rank)) {
			held = append(held, rank)
		}
	}
	switch len(held) {
	case 0:
		return 0, lease.ServiceRanks, false
	case lease.ServiceRanks:
		return 0, 1, true
	}
	return held[0], lease.ServiceRanks, true
}

// Assigned reports whether the newest known record assigns a rank of the service to this
// instance, even if the rank may not be used yet. The result changes only when Epoch does.
func (f *Fleet) Assigned(service model.ServiceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for rank := range lease.ServiceRanks {
		if f.leases.Assigned(lease.ServiceRank(service, rank)) {
			return true
		}
	}
	return false
}

// MayFinish reports whether work that was begun under a rank of the service may go on
// although the rank has moved to another instance. That is so while the new holder still
// waits.
func (f *Fleet) MayFinish(service model.ServiceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	for rank := range lease.ServiceRanks {
		if f.leases.MayFinish(now, lease.ServiceRank(service, rank)) {
			return true
		}
	}
	return false
}

// Members returns the members in the newest known record, sorted by name.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.leases.Members())
}

// Self returns the identity of this instance as it is in the record of rights, with the
// actual incarnation and peer address.
func (f *Fleet) Self() Member { return f.self }

// Epoch returns the newest known epoch of rights, or zero while none is known.
func (f *Fleet) Epoch() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leases.Epoch()
}

// Ready reports whether this instance can serve callers: it has authority as a member, or
// it is not a member and cannot become one because the store is down. It returns false
// once Leave has been called.
func (f *Fleet) Ready() bool {
	down := f.syncer.isStoreDown()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving {
		return false
	}
	return f.leases.HasAuthority(f.config.Now()) || (down && !f.leases.IsMember())
}

// IssuerReady reports whether this instance may issue the tokens of every share of the
// account's rate that the newest record assigns to it. At the first start of a fleet that
// takes some seconds, in which the account gets less than its rate.
func (f *Fleet) IssuerReady(account model.AccountID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	for share := range limit.Shares {
		if f.leases.Waiting(now, lease.AccountShare(account, share)) {
			return false
		}
	}
	return true
}

// ConfigConfirmedAt returns the latest time as of which the store or more than half of the
// members knew no newer configuration than the one in force at this instance. It returns
// the zero time if there has been no such confirmation.
func (f *Fleet) ConfigConfirmedAt() time.Time {
	version := f.config.ConfigVersion()
	byStore := f.configs.storeConfirmedAt(version)
	f.mu.Lock()
	defer f.mu.Unlock()
	record, ok := f.leases.Record()
	if !ok || version == 0 {
		return byStore
	}
	byMembers, ok := f.tracker.VersionAsOf(f.config.Now(), record, version)
	if ok && byMembers.After(byStore) {
		return byMembers
	}
	return byStore
}

// ConfigVersions returns the configuration version in force at each member, as far as this
// instance knows.
func (f *Fleet) ConfigVersions() map[model.InstanceID]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := f.tracker.Versions(f.leases.Members())
	versions[f.self.Instance] = f.config.ConfigVersion()
	return versions
}

// Close stops all activity and waits for it to end. It hands no rights over; see Leave.
func (f *Fleet) Close() {
	f.spawnMu.Lock()
	f.cancel()
	f.spawnMu.Unlock()
	f.links.close()
	f.goroutines.Wait()
	f.server.close()
}

// spawn runs work in a goroutine that Close waits for. It does nothing after Close has
// begun.
func (f *Fleet) spawn(work func()) {
	f.spawnMu.Lock()
	defer f.spawnMu.Unlock()
	if f.ctx.Err() == nil {
		f.goroutines.Go(work)
	}
}

// log writes a numbered event.
func (f *Fleet) log(id event.ID, attrs ...slog.Attr) {
	event.Log(f.ctx, f.config.Logger, id, attrs...)
}

// signal makes the loop that receives from wake run its next step at once.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// runEvery calls step at once, and then after each interval or signal on wake, until the
// fleet is closed.
func (f *Fleet) runEvery(interval time.Duration, wake <-chan struct{}, step func()) {
	f.spawn(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			step()
			select {
			case <-f.ctx.Done():
				return
			case <-wake:
			case <-ticker.C:
			}
		}
	})
}
