package proxy

import (
	"context"
	"slices"
	"time"

	"pomelofork/core/evac"
	"pomelofork/core/model"
	"pomelofork/core/outage"
	"pomelofork/core/plan"
	"pomelofork/core/rank"
	"pomelofork/io/clock"
	"pomelofork/io/lead"
	"pomelofork/io/relay"
	"pomelofork/io/sock"
	"pomelofork/io/view"
)

const (
	// examineTimeout is the time in which a member that is contacted only to find out whether it
	// answers has to: some tens of round trips.
	examineTimeout = 100 * time.Millisecond
	// askTimeout is the time-out of the question whether another instance suspects a domain. It is
	// longer than the time after which a peer is checked, so that another one is asked next if this one
	// doesn't answer.
	askTimeout = 300 * time.Millisecond
	// examinedMembers is the number of members of a domain that are contacted at a time: enough for
	// a suspicion.
	examinedMembers = 3
)

// tick examines the failure domains in doubt, and asks other domains about the suspected ones.
func (o *outages) tick(now time.Time) {
	if o == nil {
		return
	}
	var asked []model.Domain
	state := o.node.view.State()
	o.mu.Lock()
	o.retain(now, state)
	doubtful := o.tracker.Doubtful(now)
	o.inDoubt.Store(len(doubtful) > 0)
	for _, domain := range doubtful {
		if o.tracker.Ask(now, domain) {
			asked = append(asked, domain)
		}
	}
	o.mu.Unlock()
	for _, domain := range doubtful {
		o.examine(now, domain)
	}
	for _, domain := range asked {
		o.askOthers(now, domain)
	}
}

// retain forgets the members that aren't registered any more. The lock is held.
func (o *outages) retain(now time.Time, state *view.State) {
	if o.retained == state.ChangeCounts {
		return
	}
	o.retained = state.ChangeCounts
	exists := func(m outage.Member) bool { return m.In(state.Instances, state.Servers) }
	for _, change := range o.tracker.Retain(now, exists) {
		o.apply(change, true)
	}
}

// examine contacts some members of a failure domain to find out whether they answer, unless that was
// done a moment ago. Instances come first, since a contact costs a server a connection.
func (o *outages) examine(now time.Time, domain model.Domain) {
	o.mu.Lock()
	due := o.tracker.Examine(now, domain)
	o.mu.Unlock()
	if !due {
		return
	}
	state := o.node.view.State()
	var members []plan.Instance
	for _, inst := range state.Instances {
		if inst.Domain == domain {
			members = append(members, inst)
		}
	}
	// Each instance contacts others, so that no member gets the questions of the whole fleet.
	members = rank.Order("examine-"+string(o.node.config.Self.ID), "", members)
	members = members[:min(examinedMembers, len(members))]
	for _, inst := range members {
		go func() { o.contactInstance(inst) }()
	}
	left := examinedMembers - len(members)
	for _, server := range state.Servers {
		if left > 0 && server.Domain == domain && o.mayContact(now, server) {
			left--
			go func() { o.contactServer(server) }()
		}
	}
}

// mayContact reports whether a server may be sent a probe only to find out whether it answers. A cold
// server takes few commands, and only from its gateway. A server of a sealed domain takes none.
func (o *outages) mayContact(now time.Time, server plan.Server) bool {
	return !server.Cold(now) && o.node.config.evacuation().Phase(now, server.EvacuatedSince) < evac.PhaseSealed
}

// contactInstance asks an instance something that it can answer at once, and records whether it did.
func (o *outages) contactInstance(inst plan.Instance) {
	sent, answer := clock.Now(), make(chan error, 1)
	go func() {
		_, err := o.node.peer(inst).Look(sent, "", examineTimeout)
		answer <- err
	}()
	timer := time.NewTimer(examineTimeout)
	defer timer.Stop()
	select {
	case err := <-answer:
		if err == nil || sock.Exhausted(err) {
			// The peer has recorded the answer, or was asked nothing.
			return
		}
	case <-timer.C:
	}
	if clock.Now().Sub(sent) <= 2*examineTimeout {
		// Otherwise this process was paused itself.
		o.silent(inst.Domain, outage.Instance(inst.ID))
	}
}

// contactServer probes a server and records whether it answered. An error other than a missing answer
// counts as a missing one too, except a refusal of the connection by the server itself.
func (o *outages) contactServer(server plan.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), examineTimeout)
	defer cancel()
	sent := clock.Now()
	_, err := lead.Probe(ctx, o.node.config.Dialer, server, examineTimeout)
	if err == nil || (clock.Now().Sub(sent) <= 3*examineTimeout && !sock.Exhausted(err)) {
		o.probed(server, lead.Reached(err))
	}
}

// askOthers asks one instance of each other failure domain whether it suspects a domain as well.
func (o *outages) askOthers(now time.Time, suspected model.Domain) {
	byDomain := map[model.Domain][]plan.Instance{}
	for _, inst := range o.node.view.State().Instances {
		if inst.Domain != suspected && inst.Domain != o.node.config.Self.Domain {
			byDomain[inst.Domain] = append(byDomain[inst.Domain], inst)
		}
	}
	for domain, members := range byDomain {
		if o.suspects(domain) {
			continue
		}
		members = rank.Order("outage-"+string(o.node.config.Self.ID), "", members)
		i := slices.IndexFunc(members, func(inst plan.Instance) bool { return o.node.peer(inst).Reachable(now) })
		if i < 0 {
			continue
		}
		go func() {
			response, err := o.node.peer(members[i]).Outage(now, &relay.OutageRequest{Domain: suspected}, askTimeout)
			if err != nil || !response.Suspected {
				// The question is repeated while the suspicion lasts.
				return
			}
			o.mu.Lock()
			defer o.mu.Unlock()
			change, changed := o.tracker.Confirmed(clock.Now(), suspected)
			o.apply(change, changed)
		}()
	}
}

// Outage implements relay.Handler. The question makes this instance look for evidence of its own, so
// that the next answer is better informed.
func (h *handler) Outage(args *relay.OutageRequest, result *relay.OutageResponse) error {
	o := h.node.outages
	result.Suspected = o.suspects(args.Domain)
	if o != nil && !result.Suspected {
		o.examine(clock.Now(), args.Domain)
	}
	return nil
}
