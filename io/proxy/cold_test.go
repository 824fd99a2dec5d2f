package proxy

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/ramp"
	"pomelofork/io/clock"
	"pomelofork/io/view"
)

// coldPlan returns a state with a configuration that states how much cold servers of "s" can take.
func coldPlan(start plan.ColdStart) *view.State {
	return &view.State{Plan: plan.New(plan.Config{Version: 1, ColdStarts: map[model.ServiceID]plan.ColdStart{"s": start}})}
}

var _ = Describe("The limit of a cold server", func() {
	stated := plan.ColdStart{Duration: time.Second, PerSecond: 20}
	for name, c := range map[string]struct {
		limit   ramp.Limit
		state   *view.State
		server  plan.Server
		want    int
		limited bool
	}{
		"follows rate, factor and slack":               {ramp.Limit{Factor: 1.5, Slack: 4}, coldPlan(stated), plan.Server{Service: "s"}, 34, true},
		"leaves room for the probes of a primary":      {ramp.Limit{Factor: 1.5, Slack: 4}, coldPlan(stated), plan.Server{Service: "s", Primary: true}, 34 - probeStarts, true},
		"leaves half at most to them":                  {ramp.Limit{Factor: 0.5}, coldPlan(stated), plan.Server{Service: "s", Primary: true}, 5, true},
		"is none without a limit in the settings":      {ramp.Limit{}, coldPlan(stated), plan.Server{Service: "s"}, 0, false},
		"is none for a service that states no rate":    {ramp.Limit{Factor: 1}, coldPlan(stated), plan.Server{Service: "t"}, 0, false},
		"is none without a configuration":              {ramp.Limit{Factor: 1}, &view.State{}, plan.Server{Service: "s"}, 0, false},
		"is zero for an invalid rate":                  {ramp.Limit{Factor: 1, Slack: 9}, coldPlan(plan.ColdStart{PerSecond: -1}), plan.Server{Service: "s"}, 0, true},
		"is that of the rate without a time of starts": {ramp.Limit{Factor: 1}, coldPlan(plan.ColdStart{PerSecond: 7}), plan.Server{Service: "s"}, 7, true},
	} {
		It(name, func() {
			n := &Node{config: Config{ColdLimit: c.limit}}
			limit, limited := n.coldLimit(c.state, c.server)
			Expect(limit).To(Equal(c.want))
			Expect(limited).To(Equal(c.limited))
		})
	}
})

// Probes by all instances that the monitor of a cold primary asked were more than the server may get.
var _ = Describe("A primary that is probed for its monitor", func() {
	cold, sealed := clock.Now().Add(time.Hour), clock.Now().Add(-time.Hour)
	for name, c := range map[string]struct {
		server  plan.Server
		gateway bool
		want    bool
	}{
		"by any instance":                    {plan.Server{ID: "p"}, false, true},
		"by its gateway if it is cold":       {plan.Server{ID: "p", ColdUntil: cold}, true, true},
		"by no other instance if it is cold": {plan.Server{ID: "p", ColdUntil: cold}, false, false},
		"by nobody if its domain is sealed":  {plan.Server{ID: "p", EvacuatedSince: sealed}, true, false},
	} {
		It("may be probed "+name, func() {
			first := plan.Instance{ID: "other"}
			if c.gateway {
				first.ID = "self"
			}
			n := &Node{config: Config{Self: plan.Instance{ID: "self"}, EvacuationBound: time.Minute}, holderOrder: map[model.ServerID][]plan.Instance{"p": {first}}}
			Expect(n.mayProbe(clock.Now(), c.server)).To(Equal(c.want))
		})
	}
})

var _ = Describe("The claim of an instance to a cold server", func() {
	server := plan.Server{ID: "s1", Service: "s", ColdUntil: clock.Now().Add(time.Hour)}
	s := func(n *Node) *view.State {
		state := *n.view.State()
		state.Plan = coldPlan(plan.ColdStart{PerSecond: 20}).Plan
		return &state
	}

	It("begins when it has registered, and again when the view was too old in between", func() {
		n, _ := newNodeWithGateways(0)
		n.config.ColdLimit = ramp.Limit{Factor: 1}
		Expect(n.coldClaim(clock.Now(), s(n), server).First).To(BeFalse(), "the instance isn't registered yet")
		Eventually(func() int { return len(n.view.State().Instances) }).WithTimeout(10 * time.Second).Should(Equal(1))
		clear(n.holderOrder)
		now := clock.Now()
		claim := n.coldClaim(now, s(n), server)
		Expect(claim.First).To(BeTrue())
		Expect(claim.Since).To(Equal(now))
		Expect(claim.Max).To(Equal(20))
		Expect(n.coldClaim(now.Add(50*time.Millisecond), s(n), server).Since).To(Equal(now))
		late := now.Add(time.Hour)
		Expect(n.coldClaim(late, s(n), server).Since).To(Equal(late), "another instance may have been the gateway meanwhile")
	})

	It("counts the time before the server was known, if the holders were the same", func() {
		n, _ := newNodeWithGateways(0)
		n.config.ColdLimit = ramp.Limit{Factor: 1}
		Eventually(func() int { return len(n.view.State().Instances) }).WithTimeout(10 * time.Second).Should(Equal(1))
		clear(n.holderOrder)
		now := clock.Now()
		n.observeMembers(now, s(n))
		n.observeMembers(now.Add(time.Second), s(n))
		Expect(n.coldClaim(now.Add(1500*time.Millisecond), s(n), server).Since).To(Equal(now))
	})
})
