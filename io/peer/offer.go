package peer

import (
	"context"
	"sync"

	"pomelofork/core/lease"
)

// offer lists the rights that one new holder can fetch from this instance.
type offer struct {
	holder Member
	rights []lease.Right
}

// offerAll offers the rights that moved to other instances to their new holders, and waits
// for the answers.
func (h *handovers) offerAll() {
	var wait sync.WaitGroup
	for _, o := range h.offers() {
		wait.Go(func() { h.offer(o) })
	}
	wait.Wait()
}

// offers returns the offers to make now. New holders that are suspected to have failed get
// none.
func (h *handovers) offers() []*offer {
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	byHolder := map[Member]*offer{}
	var offers []*offer
	for _, right := range f.issuers.PendingHandovers(now) {
		holder, _ := f.leases.Assignment().Holder(right)
		if f.tracker.IsSuspected(now, holder) {
			continue
		}
		if byHolder[holder] == nil {
			byHolder[holder] = &offer{holder: holder}
			offers = append(offers, byHolder[holder])
		}
		byHolder[holder].rights = append(byHolder[holder].rights, right)
	}
	return offers
}

// offer tells one new holder which rights it can fetch, and drops those that it has
// acquired.
func (h *handovers) offer(o *offer) {
	f := h.fleet
	ctx, cancel := context.WithTimeout(f.ctx, 2*f.config.Timing.CallTimeout)
	defer cancel()
	request := OfferRequest{Epoch: f.Epoch(), Rights: o.rights}
	var response OfferResponse
	if err := f.links.to(o.holder.PeerAddress).call(ctx, "Offer", &request, &response); err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, right := range o.rights {
		if i < len(response.Taken) && response.Taken[i] {
			f.issuers.HandoverDone(right)
		}
	}
}

// handleOffer fetches the rights that a former holder offers and waits for the results. It
// returns which of them this instance owns now, in the order of the offer. It returns nil
// if this instance does not know the epoch of the offer yet.
func (h *handovers) handleOffer(request *OfferRequest) []bool {
	f := h.fleet
	if f.Epoch() < request.Epoch {
		return nil
	}
	var wait sync.WaitGroup
	for _, right := range request.Rights {
		if h.waiting(right) {
			wait.Go(func() { h.fetch(right, f.Epoch()) })
		}
	}
	wait.Wait()
	taken := make([]bool, len(request.Rights))
	for i, right := range request.Rights {
		taken[i] = h.owned(right)
	}
	return taken
}

// waiting reports whether a right is assigned to this instance but may not be used yet.
func (h *handovers) waiting(right lease.Right) bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.fleet.leases.Waiting(h.fleet.config.Now(), right)
}

// owned reports whether a right is assigned to this instance and no other instance can
// still use it.
func (h *handovers) owned(right lease.Right) bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	_, ok := h.fleet.leases.OwnedSince(h.fleet.config.Now(), right)
	return ok
}
