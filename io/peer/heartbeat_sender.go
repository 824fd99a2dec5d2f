package peer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"pomelofork/core/lease"
	"pomelofork/io/event"
)

// clockRateDivisor allows for clocks that run at different rates: a duration may differ by
// one part in clockRateDivisor between two instances.
const clockRateDivisor = 10

// linkIdleTimeout is the time without a call after which a link is closed. In a large
// fleet an instance calls a few others all the time and many others only occasionally.
const linkIdleTimeout = 30 * time.Second

// heartbeatSender sends heartbeats to the other instances.
type heartbeatSender struct {
	fleet *Fleet
	wake  chan struct{}

	mu sync.Mutex
	// inFlight holds the addresses to which a heartbeat is in progress.
	inFlight map[string]bool
}

func newHeartbeatSender(f *Fleet) *heartbeatSender {
	return &heartbeatSender{fleet: f, wake: make(chan struct{}, 1), inFlight: map[string]bool{}}
}

// step sends the heartbeats that are due. It then logs a change of authority and proposes
// a change of the members if one is due.
func (s *heartbeatSender) step() {
	f := s.fleet
	for _, target := range f.targets() {
		if !s.begin(target.PeerAddress) {
			continue
		}
		f.spawn(func() {
			defer s.end(target.PeerAddress)
			f.ping(target)
		})
	}
	f.logAuthority()
	f.syncer.proposeIfDue()
}

// begin returns false if a heartbeat to an address is in progress. Otherwise it records
// that one is.
func (s *heartbeatSender) begin(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[address] {
		return false
	}
	s.inFlight[address] = true
	return true
}

// end records that a heartbeat to an address has ended.
func (s *heartbeatSender) end(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, address)
}

// targets returns the instances to send a heartbeat to now. It closes the links that are
// no longer used.
func (f *Fleet) targets() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []Member
	wanted := map[string]bool{}
	members := f.leases.MembersToAsk()
	for _, m := range members {
		wanted[m.PeerAddress] = true
	}
	if len(members) == 0 {
		targets = f.seeds(wanted)
	}
	f.links.closeUnused(wanted, f.config.Now().Add(-linkIdleTimeout))
	delete(wanted, f.self.PeerAddress)
	for _, m := range f.tracker.HeartbeatTargets(f.config.Now(), f.leases.Epoch(), members) {
		if wanted[m.PeerAddress] {
			targets = append(targets, m)
			delete(wanted, m.PeerAddress)
		}
	}
	return targets
}

// seeds returns the seed addresses as heartbeat targets. They are used while no other
// member is known, as after a start while the store is down. It is not known yet which
// instances answer there, so the targets have no name. Addresses in wanted are left out,
// and the returned ones are added to it.
func (f *Fleet) seeds(wanted map[string]bool) []Member {
	var targets []Member
	for _, address := range f.config.Seeds {
		if wanted[address] || address == f.self.PeerAddress {
			continue
		}
		targets = append(targets, Member{PeerAddress: address})
		wanted[address] = true
	}
	return targets
}

// ping sends one heartbeat and handles the response. It fetches the record of rights or
// the configuration from the peer if the peer has a newer one.
func (f *Fleet) ping(target Member) {
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.CallTimeout)
	defer cancel()
	request := f.heartbeat()
	sentAt := f.config.Now()
	var response Heartbeat
	if err := f.links.to(target.PeerAddress).call(ctx, "Ping", &request, &response); err != nil {
		return
	}
	if f.handleHeartbeatResponse(target, sentAt, &response) {
		f.fetchRecord(target.PeerAddress)
	}
	if response.Version > f.config.ConfigVersion() {
		f.configs.fetch(target.PeerAddress, response.Version)
	}
}

// fetchRecord requests a peer's record of rights and applies it if it is newer.
func (f *Fleet) fetchRecord(address string) {
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.CallTimeout)
	defer cancel()
	var response RecordResponse
	if err := f.links.to(address).call(ctx, "Record", &RecordRequest{Epoch: f.Epoch()}, &response); err != nil {
		return
	}
	if response.Text == "" {
		return
	}
	r, err := lease.ParseRecord(response.Text)
	if err != nil {
		f.log(event.RightRecordUnreadable, slog.String("peer", address), slog.String("error", err.Error()))
		return
	}
	f.applyRecord(r)
}

// logAuthority logs when this instance has lost or regained authority to use its rights.
func (f *Fleet) logAuthority() {
	f.mu.Lock()
	defer f.mu.Unlock()
	has := f.leases.HasAuthority(f.config.Now())
	if has == f.hadAuthority {
		return
	}
	f.hadAuthority = has
	if has {
		f.log(event.RightAuthorityRegained, slog.Uint64("epoch", f.leases.Epoch()))
		return
	}
	f.log(event.RightAuthorityLost, slog.Uint64("epoch", f.leases.Epoch()))
}
