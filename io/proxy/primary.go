package proxy

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"pomelofork/core/epoch"
	"pomelofork/core/evac"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
	"pomelofork/io/lead"
	"pomelofork/io/relay"
)

const (
	// maxPrimaryHolders is the number of instances, in the order of holders, that may use a
	// server as a primary. The others don't have to be told of a withdrawal.
	maxPrimaryHolders = 6
	// toldHolders is the number of instances that are told of a withdrawal. It is larger, since
	// instances may know different members for a moment.
	toldHolders = 2 * maxPrimaryHolders
	// recentConfirmation is the age up to which a confirmation of a primary needs no new probe.
	recentConfirmation = 300 * time.Millisecond
	// confirmTimeout bounds the question whether a primary is confirmed, with its probe.
	confirmTimeout = 350 * time.Millisecond
	// withdrawTimeout bounds the call that tells a gateway of a withdrawal: some tens of round
	// trips.
	withdrawTimeout = 150 * time.Millisecond
)

// allowsPrimary reports whether work of a service's primary that was requested under an epoch may
// be passed on.
func (n *Node) allowsPrimary(now time.Time, service model.ServiceID, requested uint64) bool {
	// The state is read after the permit, so that it is at least as recent.
	permit := n.primaryPermit(service)
	known := n.view.State().Appointments[service].Epoch
	n.guardsMu.Lock()
	defer n.guardsMu.Unlock()
	use := n.primaryUse(service)
	use.usedAt = now
	use.guard.Raise(known)
	return use.guard.Allows(now, permit, requested)
}

// primaryPermit returns what entitles this instance to use the primary of a service. It is not valid
// before the first confirmation of the state.
func (n *Node) primaryPermit(service model.ServiceID) epoch.Permit {
	confirmed, ok := n.view.CompleteAsOf()
	if !ok {
		return epoch.Permit{}
	}
	n.guardsMu.Lock()
	if endorsed := n.primaryUse(service).endorsedAt; endorsed.After(confirmed) {
		confirmed = endorsed
	}
	n.guardsMu.Unlock()
	permit := epoch.Permit{Confirmed: confirmed, Life: epoch.LifeOf(n.config.Self.PermitLife)}
	permit.Registered, permit.ValidUntil = n.rights.Registration()
	return permit
}

// primaryUse returns what is known of a service's primary. The caller holds guardsMu.
func (n *Node) primaryUse(service model.ServiceID) *primaryUse {
	use, ok := n.primaryUses[service]
	if !ok {
		use = &primaryUse{}
		n.primaryUses[service] = use
	}
	return use
}

// mayHoldPrimary reports whether this instance may use the server as a primary now.
func (n *Node) mayHoldPrimary(now time.Time, server plan.Server) bool {
	if !slices.ContainsFunc(primaryHolders(n.holders(server)), func(inst plan.Instance) bool { return inst.ID == n.config.Self.ID }) {
		return false
	}
	return n.primaryPermit(server.Service).Valid(now) || n.renewPermit(now, server.Service)
}

// primaryHolders returns those of a server's holders that may use it as a primary.
func primaryHolders(holders []plan.Instance) []plan.Instance {
	return holders[:min(maxPrimaryHolders, len(holders))]
}

// withdrawLocally stops the work of a service's primary under epochs below the given one.
func (n *Node) withdrawLocally(service model.ServiceID, withdrawal uint64) {
	n.guardsMu.Lock()
	raised := n.primaryUse(service).guard.Raise(withdrawal)
	n.guardsMu.Unlock()
	if !raised {
		return
	}
	for _, pool := range n.openPools() {
		if pool.Server().Service == service {
			pool.Withdraw(withdrawal)
		}
	}
}

// confirmLocally returns the latest time as of which this instance knows that the server was the
// primary of its service, or the zero time. If that is long ago and probe is true, it probes the
// server.
func (n *Node) confirmLocally(now time.Time, id model.ServerID, probe bool) time.Time {
	server, ok := n.view.State().Servers[id]
	if !ok || !server.Primary {
		return time.Time{}
	}
	var at time.Time
	if pool := n.pool(id); pool != nil {
		at = pool.ConfirmedAt()
	}
	if !probe || now.Sub(at) < recentConfirmation || !n.mayProbe(now, server) {
		return at
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	sent := clock.Now()
	begin, err := lead.Probe(ctx, n.config.Dialer, server, confirmTimeout)
	if err != nil {
		n.config.Log.LogAttrs(ctx, slog.LevelInfo, "primary did not answer a probe for another instance", slog.String("server", string(id)), slog.String("error", err.Error()))
		return at
	}
	if begin.Code != stmt.CodeDone || !n.allowsPrimary(clock.Now(), server.Service, server.Epoch) {
		return at
	}
	return sent
}

// mayProbe reports whether this instance may probe a primary for the one that monitors it. Nothing is sent
// to a server of a sealed domain, and only its gateway sends to a cold one: the probes of several instances
// were more than a cold server may get.
func (n *Node) mayProbe(now time.Time, server plan.Server) bool {
	if n.config.evacuation().Phase(now, server.EvacuatedSince) >= evac.PhaseSealed {
		return false
	}
	holders := n.holders(server)
	return !server.Cold(now) || (len(holders) > 0 && holders[0].ID == n.config.Self.ID)
}

// gateways implements lead.Gateways.
type gateways struct{ node *Node }

// Holders implements lead.Gateways.
func (g gateways) Holders(server plan.Server) []plan.Instance {
	order := g.node.holders(server)
	return order[:min(toldHolders, len(order))]
}

// Confirm implements lead.Gateways.
func (g gateways) Confirm(now time.Time, inst plan.Instance, server plan.Server, probe bool) time.Time {
	n := g.node
	if inst.ID == n.config.Self.ID {
		return n.confirmLocally(now, server.ID, false)
	}
	response, err := n.peer(inst).Confirm(now, &relay.ConfirmRequest{Server: server.ID, Probe: probe}, confirmTimeout)
	if err != nil || !response.Confirmed {
		return time.Time{}
	}
	return now.Add(-response.Age)
}

// Withdraw implements lead.Gateways. An instance whose process has ended uses nothing.
func (g gateways) Withdraw(now time.Time, inst plan.Instance, service model.ServiceID, withdrawal uint64) bool {
	n := g.node
	if inst.ID == n.config.Self.ID {
		n.withdrawLocally(service, withdrawal)
		return true
	}
	if n.config.Disabled.Has(trial.WithdrawalAnswers) {
		return false
	}
	err := n.peer(inst).Withdraw(now, &relay.WithdrawRequest{Service: service, Epoch: withdrawal}, withdrawTimeout)
	return err == nil || errors.Is(err, relay.ErrConnRefused)
}

// Confirm implements relay.Handler.
func (h *handler) Confirm(args *relay.ConfirmRequest, result *relay.ConfirmResponse) error {
	at := h.node.confirmLocally(clock.Now(), args.Server, args.Probe)
	result.Confirmed, result.Age = !at.IsZero(), clock.Now().Sub(at)
	return nil
}

// Withdraw implements relay.Handler.
func (h *handler) Withdraw(args *relay.WithdrawRequest, _ *relay.WithdrawResponse) error {
	h.node.withdrawLocally(args.Service, args.Epoch)
	return nil
}
