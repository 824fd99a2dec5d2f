package proxy

import (
	"bytes"
	"log/slog"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/emul/kvsim"
	"pomelofork/io/clock"
	"pomelofork/io/pooler"
	"pomelofork/io/relay"
	"pomelofork/io/view"
)

// newNodeWithRegions returns a node in the failure domain "w1", with one other instance in each given
// domain, and the counts of their orders. "e1" and "e2" are in the east, "w1" is in the west.
func newNodeWithRegions(domains ...string) (*Node, map[string]*atomic.Int64) {
	table := kvsim.New()
	table.Set("config", nil)
	counts := map[string]*atomic.Int64{}
	for _, domain := range domains {
		counts[domain] = &atomic.Int64{}
		addInstance(table, domain, model.Domain(domain), &lostGateway{orders: counts[domain]})
	}
	n := newNodeFor(table, len(domains))
	n.config.Self.Domain = "w1"
	n.config.Regions = map[model.Domain]model.Region{"e1": "east", "e2": "east", "w1": "west"}
	n.transactions = map[uint64]plan.Instance{}
	return n, counts
}

// homeOrder returns a write that may run in the given regions.
func homeOrder(homes ...model.Region) *stmt.Order {
	return &stmt.Order{Server: "s1", Statement: stmt.Statement{Kind: stmt.KindWrite}, Timeout: time.Second, Homes: homes}
}

var _ = Describe("An order with homes", func() {
	server := plan.Server{ID: "s1", Service: "s", Domain: "e1"}

	for name, c := range map[string]struct {
		instances []string
		homes     []model.Region
		refused   bool
		asked     map[string]int64
	}{
		"goes to all gateways if it has none":            {[]string{"e1", "w2", "e2"}, nil, false, map[string]int64{"e1": 1, "w2": 1, "e2": 1}},
		"goes only to gateways in them":                  {[]string{"e1", "w2", "e2"}, []model.Region{"east"}, false, map[string]int64{"e1": 1, "w2": 0, "e2": 1}},
		"is refused if there is no gateway in them":      {[]string{"w2", "w3", "w4"}, []model.Region{"east"}, true, map[string]int64{"w2": 0, "w3": 0, "w4": 0}},
		"is refused if no failure domain belongs to one": {[]string{"e1", "w2"}, []model.Region{"north"}, true, map[string]int64{"e1": 0, "w2": 0}},
	} {
		It(name, func() {
			n, counts := newNodeWithRegions(c.instances...)
			result := n.Run(clock.Now(), server, homeOrder(c.homes...))
			Expect(result.NotSent).To(BeTrue())
			Expect(result.Answer.Text == awayText).To(Equal(c.refused))
			Expect(result.RetryAfter > 0).To(Equal(c.refused), "the time to return")
			for domain, want := range c.asked {
				Expect(counts[domain].Load()).To(Equal(want), domain)
			}
		})
	}

	It("isn't run by a gateway or at a server elsewhere, although an entry sent it there", func() {
		n, _ := newNodeWithRegions("e1")
		n.pools = map[model.ServerID]*pooler.Pool{"s1": pooler.NewPool(pooler.Config{Server: server, Log: n.config.Log})}
		var response relay.RunResponse
		Expect((&handler{n}).Run(&relay.RunRequest{Order: *homeOrder("east")}, &response)).To(Succeed())
		Expect(response.Result.Answer.Text).To(Equal(awayText))
		Expect(response.Result.NotSent).To(BeTrue())
		Expect(n.runLocally(clock.Now(), homeOrder("west")).Answer.Text).To(Equal(awayText))
		Expect(n.runLocally(clock.Now(), homeOrder("east")).Answer.Text).NotTo(Equal(awayText), "the caller is connected to this instance")
	})

	It("isn't sent to the gateway of its transaction if that is no longer at home, but its rollback is", func() {
		n, counts := newNodeWithRegions("w2", "e1")
		n.transactions[7] = n.view.State().Instances["w2"]
		order := homeOrder("east")
		order.Unit, order.Begin = 7, stmt.OpPass
		Expect(n.Run(clock.Now(), server, order).Answer.Code).To(Equal(stmt.CodeAborted))
		Expect(counts["w2"].Load()).To(BeZero())
		rollback := &stmt.Order{Unit: 7, Begin: stmt.OpPass, Server: "s1", Timeout: time.Second, Statement: stmt.Statement{Kind: stmt.KindRollback}}
		n.Run(clock.Now(), server, rollback)
		Expect(counts["w2"].Load()).To(Equal(int64(1)))
	})
})

var _ = Describe("A home to which no failure domain belongs", func() {
	It("is logged once for each version of the configuration", func() {
		var out bytes.Buffer
		n := &Node{config: Config{Regions: map[model.Domain]model.Region{"e1": "east"}, Log: slog.New(slog.NewTextHandler(&out, nil))}}
		for _, version := range []uint64{1, 1, 2} {
			n.logUnmatchedHomes(&view.State{Plan: plan.New(plan.Config{
				Version: version, Routes: map[string]plan.Route{"a": {Homes: []model.Region{"east", "north"}}}, Accounts: map[model.AccountID]plan.Account{"t": {Homes: []model.Region{"north"}}},
			})})
		}
		Expect(bytes.Count(out.Bytes(), []byte("region=north"))).To(Equal(2))
		Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(2))
	})
})
