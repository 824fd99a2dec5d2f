package proxy

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/outage"
	"pomelofork/core/plan"
	"pomelofork/emul/kvsim"
	"pomelofork/io/clock"
	"pomelofork/io/relay"
)

// witness is an instance that is asked about a failure domain.
type witness struct {
	handler
	suspects bool
}

// Look implements relay.Handler.
func (*witness) Look(*relay.LookRequest, *relay.LookResponse) error { return nil }

// Outage implements relay.Handler.
func (w *witness) Outage(_ *relay.OutageRequest, result *relay.OutageResponse) error {
	result.Suspected = w.suspects
	return nil
}

// Callers and monitors waited for the time-outs of each lost server and instance in turn.
var _ = Describe("A failure domain whose instances don't answer", func() {
	// start returns a node in domain d, with three frozen instances in domain x, and two in y the first
	// of which answers.
	start := func(w *witness) *Node {
		table := kvsim.New()
		table.Set("config", nil)
		for i, domain := range []model.Domain{"x", "x", "x", "y", "y"} {
			var h relay.Handler
			if i == 3 {
				h = w
			}
			addInstance(table, fmt.Sprint(domain, i), domain, h)
		}
		n := newNodeFor(table, 5)
		n.config.ToleratedDomains, n.config.Self.Domain = 1, "d"
		n.outages = newOutages(n)
		return n
	}
	tick := func(n *Node, domain model.Domain, state func(*outages, model.Domain) bool) func() bool {
		return func() bool {
			n.outages.tick(clock.Now())
			return state(n.outages, domain)
		}
	}

	for name, c := range map[string]struct{ suspects bool }{
		"is suspected after the first of them, and lost if another domain agrees": {true},
		"is suspected, but not lost if the other domain still reaches it":         {false},
	} {
		It(name, func() {
			n := start(&witness{suspects: c.suspects})
			Expect(n.outages.suspects("x")).To(BeFalse())
			n.outages.silent("x", outage.Instance("x0"))
			Eventually(tick(n, "x", (*outages).suspects)).WithTimeout(10 * time.Second).Should(BeTrue())
			if c.suspects {
				Eventually(tick(n, "x", (*outages).lost)).WithTimeout(10 * time.Second).Should(BeTrue())
			} else {
				Consistently(tick(n, "x", (*outages).lost)).WithTimeout(time.Second).Should(BeFalse())
			}
			Expect(n.outages.suspects("y")).To(BeFalse())
			order := n.outages.suspectedLast([]plan.Instance{{ID: "x0", Domain: "x"}, {ID: "d0", Domain: "d"}, {ID: "x1", Domain: "x"}, {ID: "y3", Domain: "y"}})
			var ids []model.InstanceID
			for _, inst := range order {
				ids = append(ids, inst.ID)
			}
			Expect(ids).To(Equal([]model.InstanceID{"d0", "y3", "x0", "x1"}))
			n.outages.answered("x", outage.Instance("x1"))
			Expect(n.outages.suspects("x")).To(BeFalse())
			Expect(n.outages.lost("x")).To(BeFalse())
		})
	}

	// Probes reached servers of an evacuated domain whose instances had stopped answering.
	for name, c := range map[string]struct {
		server     plan.Server
		mayContact bool
	}{
		"a usual one":                  {plan.Server{}, true},
		"one that is cold":             {plan.Server{ColdUntil: clock.Now().Add(time.Hour)}, false},
		"one of a domain being closed": {plan.Server{EvacuatedSince: clock.Now().Add(-31 * time.Minute)}, true},
		"one of a sealed domain":       {plan.Server{EvacuatedSince: clock.Now().Add(-46 * time.Minute)}, false},
	} {
		It("has its servers contacted unless they may get nothing: "+name, func() {
			o := &outages{node: &Node{config: Config{EvacuationBound: time.Hour}}}
			Expect(o.mayContact(clock.Now(), c.server)).To(Equal(c.mayContact))
		})
	}

	It("isn't suspected for one instance while the others answer", func() {
		n := start(&witness{})
		n.outages.silent("y", outage.Instance("y4"))
		Consistently(tick(n, "y", (*outages).suspects)).WithTimeout(time.Second).Should(BeFalse())
	})
})
