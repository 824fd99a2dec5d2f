package peer

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"pomelofork/core/lease"
	"pomelofork/core/limit"
	"pomelofork/core/model"
	"pomelofork/io/event"
)

// The intervals of handing over rights.
const (
	// offerInterval is the time between two offers of the same right.
	offerInterval = 100 * time.Millisecond
	// fetchInterval is the shortest time between two attempts to fetch the same right.
	fetchInterval = 50 * time.Millisecond
)

// handovers hands rights over to their new holders and fetches rights from their former
// holders. The mutex of the fleet guards its fields unless stated otherwise.
type handovers struct {
	fleet *Fleet
	wake  chan struct{}
	// fetchedAt is when the last attempt to fetch each right began.
	fetchedAt map[lease.Right]time.Time

	// ownRanks are the ranks that were assigned to this instance at ranksKey. Only the
	// goroutine that calls step uses both fields.
	ownRanks []lease.Right
	ranksKey assignmentKey
}

// assignmentKey identifies the state that determines which ranks there are and who holds
// them: the epoch of rights and the configuration version.
type assignmentKey struct{ epoch, version uint64 }

func newHandovers(f *Fleet) *handovers {
	return &handovers{
		fleet: f, wake: make(chan struct{}, 1),
		fetchedAt: map[lease.Right]time.Time{},
	}
}

// step offers the rights that moved to other instances, and fetches the ranks of services
// that moved to this one.
func (h *handovers) step() {
	h.offerAll()
	h.fetchServices()
}

// fetchIfWaiting fetches a right in the background if it is assigned to this instance but
// may not be used yet. The caller holds the mutex of the fleet.
func (h *handovers) fetchIfWaiting(now time.Time, right lease.Right) {
	if h.fleet.leases.Waiting(now, right) {
		h.fetchLater(now, right, h.fleet.leases.Epoch())
	}
}

// fetchLater fetches a right in the background, unless an attempt began less than
// fetchInterval ago. The caller holds the mutex of the fleet.
func (h *handovers) fetchLater(now time.Time, right lease.Right, epoch uint64) {
	if last, ok := h.fetchedAt[right]; ok && now.Sub(last) < fetchInterval {
		return
	}
	h.fetchedAt[right] = now
	h.fleet.spawn(func() { h.fetch(right, epoch) })
}

// fetch asks the former holder to hand over a right that this instance holds at an epoch.
// It does nothing if no member can hand it over, or if the former holder is suspected to
// have failed.
func (h *handovers) fetch(right lease.Right, epoch uint64) {
	f := h.fleet
	f.mu.Lock()
	former, movedIn, ok := f.leases.FormerHolder(right, epoch)
	suspected := ok && f.tracker.IsSuspected(f.config.Now(), former)
	f.mu.Unlock()
	if !ok || suspected {
		return
	}
	ctx, cancel := context.WithTimeout(f.ctx, f.config.Timing.CallTimeout)
	defer cancel()
	var response ReleaseResponse
	err := f.links.to(former.PeerAddress).call(ctx, "Release", &ReleaseRequest{Right: right, Epoch: movedIn}, &response)
	if err != nil || !response.Released {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h.acquire(right, movedIn, response.Handover)
}

// acquire takes over a right that moved in an epoch, with the handover of its former
// holder. A repeated response
// for the same right changes nothing. The caller holds the mutex of the fleet.
func (h *handovers) acquire(right lease.Right, epoch uint64, handover limit.Handover) {
	f := h.fleet
	if f.issuers.Acquire(f.config.Now(), right, epoch, handover) {
		f.log(event.RightAcquired, slog.String("right", right.String()), slog.Uint64("epoch", epoch))
	}
}

// handleRelease responds to the request of a new holder. Repeated requests get the same
// handover.
func (h *handovers) handleRelease(request *ReleaseRequest) ReleaseResponse {
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	if request.Right.Kind == lease.KindService && !h.idle(request.Right) {
		return ReleaseResponse{}
	}
	handover, ok := f.issuers.Release(now, request.Right, request.Epoch)
	if !ok {
		// This instance may itself still wait for the holder before it.
		if request.Epoch > 1 {
			h.fetchLater(now, request.Right, request.Epoch-1)
		}
		return ReleaseResponse{}
	}
	f.log(event.RightHandedOver, slog.String("right", request.Right.String()), slog.Uint64("epoch", request.Epoch))
	return ReleaseResponse{Released: true, Handover: handover}
}

// idle reports whether no more work is in progress under a former rank of a service.
func (h *handovers) idle(right lease.Right) bool {
	idle := h.fleet.config.Idle
	return idle == nil || idle(model.ServiceID(right.Name), right.Part)
}

// fetchServices fetches the ranks of services that are assigned to this instance but may
// not be used yet.
func (h *handovers) fetchServices() {
	f := h.fleet
	ranks := h.ranks()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	for _, right := range ranks {
		h.fetchIfWaiting(now, right)
	}
}

// ranks returns the ranks of services that the newest record assigns to this instance.
// They are computed again only when the epoch or the configuration has changed, because
// this is called many times a second and a large fleet has thousands of ranks. Only the
// goroutine that calls step may call it.
func (h *handovers) ranks() []lease.Right {
	f := h.fleet
	key := assignmentKey{epoch: f.Epoch(), version: f.config.ConfigVersion()}
	if key == h.ranksKey {
		return h.ownRanks
	}
	all := f.serviceRights()
	f.mu.Lock()
	defer f.mu.Unlock()
	h.ranksKey = assignmentKey{epoch: f.leases.Epoch(), version: key.version}
	h.ownRanks = slices.DeleteFunc(all, func(right lease.Right) bool { return !f.leases.Assigned(right) })
	return h.ownRanks
}
