package proxy

import (
	"log/slog"
	"time"

	"pomelofork/core/epoch"
	"pomelofork/core/model"
	"pomelofork/io/clock"
	"pomelofork/io/relay"
)

const (
	// minEndorseInterval is the least time between two questions about the appointment of a service,
	// however short the permits are.
	minEndorseInterval = 150 * time.Millisecond
	// endorseTimeout bounds such a question: some tens of round trips.
	endorseTimeout = 150 * time.Millisecond
	// primaryUseMemory is the time for which a primary counts as in use.
	primaryUseMemory = 2 * time.Second
)

// primaryUse is what this instance knows of a service's primary as one of its gateways.
type primaryUse struct {
	guard epoch.Guard
	// usedAt is when work of the primary was last to be passed on.
	usedAt time.Time
	// endorsedAt is the time as of which the monitor said that the appointment is in force.
	endorsedAt time.Time
	// askedAt is when the monitor was last asked. pendingSince is when it was first asked since its
	// last answer, or zero.
	askedAt, pendingSince time.Time
}

// endorseAge returns the age of the view's confirmation from which the monitor of a primary in use is
// asked whether the appointment is in force.
func (n *Node) endorseAge() time.Duration { return epoch.LifeOf(n.config.Self.PermitLife) * 6 / 10 }

// endorseInterval returns the time between two such questions about a service.
func (n *Node) endorseInterval() time.Duration {
	return max(epoch.LifeOf(n.config.Self.PermitLife)/8, minEndorseInterval)
}

// endorseInUse asks the monitors of the primaries in use whether the appointments are in force, if
// the view wasn't confirmed for a while.
func (n *Node) endorseInUse(now time.Time) {
	confirmed, ok := n.view.CompleteAsOf()
	if !ok || now.Sub(confirmed) < n.endorseAge() {
		return
	}
	interval, unendorsed := n.endorseInterval(), false
	n.guardsMu.Lock()
	defer n.guardsMu.Unlock()
	for service, use := range n.primaryUses {
		if now.Sub(use.usedAt) >= primaryUseMemory {
			continue
		}
		if now.Sub(use.askedAt) >= interval && now.Sub(use.endorsedAt) >= interval {
			use.askedAt = now
			if use.pendingSince.IsZero() {
				use.pendingSince = now
			}
			go func() { n.askMonitor(clock.Now(), service) }()
		}
		unendorsed = unendorsed || (!use.pendingSince.IsZero() && now.Sub(use.pendingSince) >= interval && now.Sub(use.endorsedAt) >= n.endorseAge())
	}
	if unendorsed {
		n.confirmView(now)
	}
}

// askMonitor asks the monitor of a service's primary whether the appointment is in force.
func (n *Node) askMonitor(now time.Time, service model.ServiceID) {
	state := n.view.State()
	right, ok := state.Rights[monitorRight(service)]
	if !ok {
		return
	}
	var response relay.EndorseResponse
	if right.Instance == n.config.Self.ID {
		response = n.endorseLocally(now, service)
	} else if inst, ok := state.Instances[right.Instance]; ok {
		var err error
		if response, err = n.peer(inst).Endorse(now, &relay.EndorseRequest{Service: service}, endorseTimeout); err != nil {
			n.config.Log.Debug("monitor of a primary did not answer", slog.String("service", string(service)), slog.String("instance", string(inst.ID)), slog.String("error", err.Error()))
			return
		}
	}
	if !response.Endorsed {
		return
	}
	// All epochs before the endorsed one were withdrawn.
	n.withdrawLocally(service, response.Epoch)
	n.guardsMu.Lock()
	defer n.guardsMu.Unlock()
	use := n.primaryUse(service)
	use.pendingSince = time.Time{}
	if now.After(use.endorsedAt) {
		use.endorsedAt = now
	}
}

// endorseLocally reports whether the appointment of a service's primary is in force, if this
// instance certainly holds the right to monitor it: no other instance can have withdrawn it then,
// and this one has neither begun to nor any appointment under way. That is so after a restore of the
// store too, as long as this instance has held the right since before: nobody acquires one until the
// restore is settled, and what it knows of the appointment stays.
func (n *Node) endorseLocally(now time.Time, service model.ServiceID) relay.EndorseResponse {
	_, fence, ok := n.rights.Holds(now, monitorRight(service))
	if !ok || n.view.Revision() < fence {
		return relay.EndorseResponse{}
	}
	n.guardsMu.Lock()
	defer n.guardsMu.Unlock()
	if n.appointing[service] == fence {
		return relay.EndorseResponse{}
	}
	appointment, appointed := n.view.State().Appointments[service]
	if appointed && appointment.Server == "" {
		return relay.EndorseResponse{}
	}
	return relay.EndorseResponse{Endorsed: true, Epoch: appointment.Epoch}
}

// beginAppointment records that an appointment is about to be written under the fence of the right
// to monitor a service. It counts as under way until the right is written again, or failed says that
// it certainly has no effect.
func (n *Node) beginAppointment(now time.Time, service model.ServiceID) (failed func()) {
	_, fence, _ := n.rights.Holds(now, monitorRight(service))
	n.guardsMu.Lock()
	defer n.guardsMu.Unlock()
	n.appointing[service] = fence
	return func() {
		n.guardsMu.Lock()
		defer n.guardsMu.Unlock()
		delete(n.appointing, service)
	}
}

// Endorse implements relay.Handler.
func (h *handler) Endorse(args *relay.EndorseRequest, result *relay.EndorseResponse) error {
	*result = h.node.endorseLocally(clock.Now(), args.Service)
	return nil
}
