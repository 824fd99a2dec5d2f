package peer

import (
	"time"

	"pomelofork/core/lease"
	"pomelofork/core/member"
)

// handleHeartbeatResponse records what a peer reported in its response to a heartbeat that
// was sent at sentAt. It returns whether the peer knows a newer epoch of rights.
func (f *Fleet) handleHeartbeatResponse(target Member, sentAt time.Time, response *Heartbeat) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	if target.Instance != "" && response.Instance != target.Instance {
		// Only one process can listen on an address. Another instance answered
		// there, so the member's process has ended.
		f.leases.MarkEnded(now, target)
	}
	f.tracker.ObserveMessage(now, response.Instance, response.Incarnation)
	f.tracker.ObserveVersion(response.Instance, response.Incarnation, response.Version, sentAt)
	if response.Joining != nil {
		f.tracker.AddJoiner(now, *response.Joining)
	}
	f.leases.AddAnswer(now, lease.Answer{
		Instance: response.Instance, Incarnation: response.Incarnation, Epoch: response.Epoch, Asked: sentAt,
	})
	if response.Digest != nil {
		f.applyDigest(now, sentAt, response)
	}
	return response.Epoch > f.leases.Epoch()
}

// applyDigest records what a peer reported about the other members. The versions count as
// of the earliest time at which the peer may have seen them, allowing for a difference
// between the rates of the two clocks.
func (f *Fleet) applyDigest(now, sentAt time.Time, response *Heartbeat) {
	sameAsOf := sentAt.Add(-f.sameVersionMaxAge() - f.sameVersionMaxAge()/clockRateDivisor)
	f.leases.AddDigest(now, sentAt, *response.Digest, func(i int, m Member, asOf time.Time) {
		f.tracker.ObserveMessage(asOf, m.Instance, m.Incarnation)
		if i/8 < len(response.Same) && response.Same[i/8]>>(i%8)&1 == 1 {
			f.tracker.ObserveVersion(m.Instance, m.Incarnation, response.Version, sameAsOf)
		}
	})
}

// sameVersionMaxAge is the age up to which an instance reports that another member was
// seen with its own configuration version.
func (f *Fleet) sameVersionMaxAge() time.Duration { return f.config.Timing.Lease.EvidenceValidity / 2 }

// heartbeatResponse returns the response to a heartbeat. In a large fleet it includes what
// this instance knows about the other members, provided that the sender's newest epoch is
// the same.
func (f *Fleet) heartbeatResponse(request *Heartbeat) Heartbeat {
	state := f.heartbeat()
	f.mu.Lock()
	defer f.mu.Unlock()
	members := f.leases.Members()
	if len(members) <= member.FullMeshLimit || request.Epoch != state.Epoch || f.leases.Epoch() != state.Epoch {
		return state
	}
	now := f.config.Now()
	digest := f.leases.Digest(now)
	state.Digest = &digest
	state.Same = f.tracker.SameVersionBits(now, members, state.Version, f.sameVersionMaxAge())
	return state
}

// heartbeat returns the state that this instance reports about itself.
func (f *Fleet) heartbeat() Heartbeat {
	version := f.config.ConfigVersion()
	f.mu.Lock()
	defer f.mu.Unlock()
	state := Heartbeat{
		Instance: f.self.Instance, Incarnation: f.self.Incarnation,
		Epoch: f.leases.Epoch(), Version: version,
	}
	if !f.leases.IsMember() && !f.leaving {
		self := f.self
		state.Joining = &self
	}
	return state
}

// handleHeartbeat records the heartbeat of another instance. The epoch that it reports is
// no evidence for the use of rights, because it is not known how long the message was
// under way.
func (f *Fleet) handleHeartbeat(request *Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	f.tracker.ObserveMessage(now, request.Instance, request.Incarnation)
	if request.Joining != nil {
		f.tracker.AddJoiner(now, *request.Joining)
	}
	if request.Epoch > f.leases.Epoch() {
		signal(f.heartbeats.wake)
	}
}
