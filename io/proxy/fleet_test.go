package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/epoch"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/emul/kvsim"
	"pomelofork/io/clock"
	"pomelofork/io/pooler"
	"pomelofork/io/relay"
	"pomelofork/io/right"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

// planDecoder takes the entry "config" for a configuration. There are no servers.
type planDecoder struct{}

func (planDecoder) Plan(e store.Entry) (*plan.Plan, bool, error) {
	services := map[model.ServiceID]int{}
	for i := range 12 {
		services[model.ServiceID(fmt.Sprint("s", i))] = 0
	}
	return plan.New(plan.Config{Version: 1, Connections: services}), e.Key == "config", nil
}
func (planDecoder) Server(store.Entry) (plan.Server, bool, error) { return plan.Server{}, false, nil }
func (planDecoder) ServerID(string) (model.ServerID, bool)        { return "", false }
func (planDecoder) ServerKey(model.ServerID) string               { return "none" }
func (planDecoder) Evacuation(string) (model.Domain, bool)        { return "", false }
func (planDecoder) EvacuationKey(model.Domain) string             { return "none" }

// lostGateway is an instance whose server has stopped answering. It counts the orders.
type lostGateway struct {
	handler
	orders *atomic.Int64
}

// Run implements relay.Handler.
func (g *lostGateway) Run(_ *relay.RunRequest, result *relay.RunResponse) error {
	g.orders.Add(1)
	result.Result = stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, "server gives no answers"), NotSent: true}
	return nil
}

// addInstance registers an instance whose statements h handles, or that never answers if h is nil.
func addInstance(table *kvsim.Table, id string, domain model.Domain, h relay.Handler) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	if h != nil {
		Expect(relay.NewServer(relay.ServerConfig{Listener: listener, Handler: h, Disconnected: func(uint64) {}, Log: slog.New(slog.DiscardHandler)})).To(Succeed())
	}
	table.Set("own/instance/"+id, []byte(fmt.Sprintf(`{"address":%q,"domain":%q,"weight":1}`, listener.Addr(), domain)))
}

// newNodeWithGateways returns a node whose view has the given number of other instances, all of
// which are lost gateways, and the count of their orders. The node acquires the given rights.
func newNodeWithGateways(count int, wanted ...right.Spec) (*Node, *atomic.Int64) {
	table := kvsim.New()
	table.Set("config", nil)
	orders := &atomic.Int64{}
	for i := range count {
		addInstance(table, fmt.Sprint("g", i), "d", &lostGateway{orders: orders})
	}
	return newNodeFor(table, count, wanted...), orders
}

// newNodeFor returns a node whose view shows the content of a store with the given number of
// instances. The node acquires the given rights.
func newNodeFor(table *kvsim.Table, count int, wanted ...right.Spec) *Node {
	log := slog.New(slog.DiscardHandler)
	n := &Node{
		config: Config{Self: plan.Instance{ID: "self"}, Table: table.Client(), Log: log}, meter: newMeter(), peers: map[string]*relay.Peer{}, holderOrder: map[model.ServerID][]plan.Instance{},
		pathRetryAt: map[serverPath]time.Time{}, primaryUses: map[model.ServiceID]*primaryUse{}, appointing: map[model.ServiceID]uint64{}, endedLeases: map[uint64]bool{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	n.view = view.New(ctx, view.Config{
		OwnPrefix: "own/", Decoder: planDecoder{}, Sources: func(*view.State) []view.Source { return []view.Source{view.StoreSource{Table: table.Client()}} }, Changed: func(view.State) {}, Log: log,
	})
	Eventually(func() int { return len(n.view.State().Instances) }).Should(Equal(count))
	n.rights = right.NewManager(ctx, right.Config{
		Table: table.Client(), View: n.view, Self: n.config.Self, Wanted: func(*view.State) []right.Spec { return wanted }, Log: log,
	})
	return n
}

var _ = Describe("An order for a server that has stopped answering", func() {
	server := plan.Server{ID: "s1", Service: "s", Domain: "d"}
	for name, c := range map[string]struct {
		order stmt.Order
		asked int64
	}{
		"is tried at one instance if another server may run it": {stmt.Order{Statement: stmt.Statement{Kind: stmt.KindRead}, Timeout: time.Second}, 1},
		"is tried at several if only this server may run it":    {stmt.Order{Statement: stmt.Statement{Kind: stmt.KindWrite}, Timeout: time.Second}, 3},
	} {
		It(name, func() {
			n, orders := newNodeWithGateways(5)
			result := n.Run(clock.Now(), server, &c.order)
			Expect(result.NotSent).To(BeTrue())
			Expect(orders.Load()).To(Equal(c.asked))
		})
	}
})

// Such an order closed the connections to three instances, and with them the transactions of all callers there.
var _ = Describe("An order over the limit of messages between instances", func() {
	It("is refused as not run, and no other instance is tried", func() {
		n, orders := newNodeWithGateways(5)
		order := stmt.Order{Statement: stmt.Statement{Kind: stmt.KindWrite}, Timeout: time.Second, Values: []stmt.Value{{Name: "v", Content: strings.Repeat("x", 9<<20)}}}
		result := n.Run(clock.Now(), plan.Server{ID: "s1", Service: "s", Domain: "d"}, &order)
		Expect(result.NotSent).To(BeTrue())
		Expect(result.Answer.Code).To(Equal(stmt.CodeTooLarge))
		Expect(orders.Load()).To(BeZero())
		Expect(n.peers).To(HaveLen(1))
	})
})

// Such a pool ran the statements of one service over connections to another, under the appointments of that.
var _ = Describe("The connections to a server that registers for another service", func() {
	It("are closed", func() {
		server := plan.Server{ID: "s1", Service: "s", Address: "a"}
		n := &Node{holderOrder: map[model.ServerID][]plan.Instance{}, pools: map[model.ServerID]*pooler.Pool{"s1": pooler.NewPool(pooler.Config{Server: server})}}
		server.Service = "t"
		Expect(n.updatePools(&view.State{Servers: map[model.ServerID]plan.Server{"s1": server}})).To(HaveLen(1))
		Expect(n.pools).To(BeEmpty())
	})
})

var _ = Describe("An order for a primary at an instance without a valid registration", func() {
	It("is left to the next instance in the order of holders", func() {
		n, orders := newNodeWithGateways(2)
		n.pools = map[model.ServerID]*pooler.Pool{"s1": pooler.NewPool(pooler.Config{Server: plan.Server{ID: "s1", Service: "s", Domain: "d"}, Log: n.config.Log})}
		order := stmt.Order{Server: "s1", Statement: stmt.Statement{Kind: stmt.KindWrite}, Timeout: time.Second}
		result := n.runLocally(clock.Now(), &order)
		Expect(result.NotSent).To(BeTrue())
		Expect(result.Answer.Code).To(Equal(stmt.CodeConnectionLost), "Run tries the next instance after this code")
		Expect(orders.Load()).To(BeZero())
	})
})

// Answers to checks carried the whole configuration, up to 15 MB a second from a watcher of a large fleet.
var _ = Describe("A peer's check of its copy of the store", func() {
	It("is answered without the changes, which show in the revision", func() {
		n, _ := newNodeWithGateways(1)
		Eventually(n.view.Revision).WithTimeout(10 * time.Second).Should(BeNumerically(">", 1))
		var response relay.FollowResponse
		Expect((&handler{n}).Follow(&relay.FollowRequest{After: 1, CheckOnly: true}, &response)).To(Succeed())
		Expect(response.Known).To(BeTrue())
		Expect(response.Entries).To(BeEmpty())
		Expect(response.Revision).To(BeNumerically(">", 1))
	})
})

var _ = Describe("The guard of a service's primary", func() {
	It("follows the appointments in the view and the withdrawals of peers", func() {
		n, _ := newNodeWithGateways(1)
		Expect(n.allowsPrimary(clock.Now(), "s", 0)).To(BeFalse(), "the instance isn't registered yet")
		Eventually(func() bool { return n.allowsPrimary(clock.Now(), "s", 0) }).WithTimeout(10 * time.Second).Should(BeTrue())
		now := clock.Now()
		n.withdrawLocally("s", 5)
		Expect(n.allowsPrimary(now, "s", 4)).To(BeFalse())
		Expect(n.allowsPrimary(now, "s", 5)).To(BeTrue())
		Expect(n.allowsPrimary(now, "other", 0)).To(BeTrue())
		Expect(n.allowsPrimary(now.Add(epoch.PermitLife+2*time.Second), "s", 5)).To(BeFalse(), "the view is too old by then")
	})
})

var _ = Describe("Work of a primary whose appointment was withdrawn", func() {
	It("is not passed on as soon as the view shows that, whoever else was told", func() {
		n, _ := newNodeWithGateways(1)
		Eventually(func() bool { return n.allowsPrimary(clock.Now(), "s", 0) }).WithTimeout(10 * time.Second).Should(BeTrue())
		value, err := view.AppointmentValue("", 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = n.config.Table.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: n.view.AppointmentKey("s"), Value: value}}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return n.allowsPrimary(clock.Now(), "s", 0) }).WithTimeout(10 * time.Second).Should(BeFalse())
		Expect(n.allowsPrimary(clock.Now(), "s", n.view.State().Appointments["s"].Epoch)).To(BeTrue())
	})
})

var _ = Describe("The appointment of a service's primary", func() {
	// newMonitor returns a node that holds the right to monitor the service.
	newMonitor := func() *Node {
		n, _ := newNodeWithGateways(1, right.Spec{Name: monitorRight("s")})
		Eventually(func() bool { return n.endorseLocally(clock.Now(), "s").Endorsed }).WithTimeout(20 * time.Second).Should(BeTrue())
		return n
	}

	It("is endorsed by the holder of the right to monitor it, and by nobody else", func() {
		Expect(newMonitor().endorseLocally(clock.Now(), "other").Endorsed).To(BeFalse())
		n, _ := newNodeWithGateways(1)
		Expect(n.endorseLocally(clock.Now(), "s").Endorsed).To(BeFalse())
	})

	It("isn't endorsed from when its withdrawal begins", func() {
		n := newMonitor()
		failed := n.beginAppointment(clock.Now(), "s")
		Expect(n.endorseLocally(clock.Now(), "s").Endorsed).To(BeFalse())
		failed()
		Expect(n.endorseLocally(clock.Now(), "s").Endorsed).To(BeTrue())
	})

	It("isn't endorsed while no server is appointed, but again after the next appointment", func() {
		n := newMonitor()
		appoint := func(server model.ServerID) {
			value, err := view.AppointmentValue(server, 0)
			Expect(err).NotTo(HaveOccurred())
			n.beginAppointment(clock.Now(), "s")
			_, err = n.rights.NewFence(context.Background(), 0, monitorRight("s"), store.Put{Key: n.view.AppointmentKey("s"), Value: value})
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() model.ServerID { return n.view.State().Appointments["s"].Server }).WithTimeout(20 * time.Second).Should(Equal(server))
		}
		appoint("")
		Consistently(func() bool { return n.endorseLocally(clock.Now(), "s").Endorsed }).WithTimeout(300 * time.Millisecond).Should(BeFalse())
		appoint("p")
		Eventually(func() bool { return n.endorseLocally(clock.Now(), "s").Endorsed }).WithTimeout(20 * time.Second).Should(BeTrue())
		Expect(n.endorseLocally(clock.Now(), "s").Epoch).To(Equal(n.view.State().Appointments["s"].Epoch))
	})

	// Short permits end between two confirmations of the view. The first statements at each gateway of a
	// primary that wasn't in use were refused for seconds.
	It("is endorsed at once for the first statement after a pause, where permits are short", func() {
		n := newMonitor()
		n.config.Self.PermitLife = epoch.ShortPermitLife
		server := plan.Server{ID: "p", Service: "s", Domain: "d"}
		Eventually(func() bool { return !n.primaryPermit("s").Valid(clock.Now()) }).WithTimeout(10 * time.Second).Should(BeTrue())
		Expect(n.mayHoldPrimary(clock.Now(), server)).To(BeTrue())
	})

	It("keeps the primary in use while the store doesn't answer", func() {
		n := newMonitor()
		later := clock.Now().Add(epoch.PermitLife * 3 / 2)
		Expect(n.allowsPrimary(later, "s", 0)).To(BeFalse())
		n.askMonitor(later, "s")
		Expect(n.allowsPrimary(later, "s", 0)).To(BeTrue())
	})
})

// All instances lose power and start again, one a little sooner than the other.
var _ = Describe("The lease of an instance whose address refuses connections", func() {
	for name, c := range map[string]struct {
		age time.Duration
		// again says that the instance has registered again since.
		again, ended bool
	}{
		"is ended, since its process has":                                                {time.Minute, false, true},
		"isn't ended by an instance that has just started, because it may start as well": {0, false, false},
		"isn't ended if the instance has registered again under it":                      {time.Minute, true, false},
	} {
		It(name, func() {
			table := kvsim.New()
			client := table.Client()
			granted, err := client.Grant(context.Background(), time.Minute)
			Expect(err).NotTo(HaveOccurred())
			lease := granted.ID
			_, err = client.Commit(context.Background(), store.Txn{Puts: []store.Put{
				{Key: "own/instance/i", Value: []byte(`{"address":"h:1"}`), Lease: lease}, {Key: "own/right/r", Value: []byte(`{"instance":"i"}`), Lease: lease},
			}})
			Expect(err).NotTo(HaveOccurred())
			n := newNodeFor(table, 1)
			n.startedAt = clock.Now().Add(-c.age)
			inst := n.view.State().Instances["i"]
			if c.again {
				_, err = client.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: "own/instance/i", Value: []byte(`{"address":"h:1"}`), Lease: lease}}})
				Expect(err).NotTo(HaveOccurred())
			}
			n.endLeaseIfRefused(inst, fmt.Errorf("dial: %w", relay.ErrConnRefused))
			held := func() bool {
				_, ok := table.Get("own/right/r")
				return ok
			}
			if c.ended {
				Eventually(held).WithTimeout(10 * time.Second).Should(BeFalse())
				return
			}
			Consistently(held, 200*time.Millisecond).Should(BeTrue())
		})
	}
})
