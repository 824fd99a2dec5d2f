package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/emul/kvsim"
	"pomelofork/io/clock"
	"pomelofork/io/right"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

// serverDecoder decodes servers from entries "server/ID" of the form "SERVICE DOMAIN ROLE".
type serverDecoder struct{ planDecoder }

func (serverDecoder) Server(e store.Entry) (plan.Server, bool, error) {
	fields := strings.Fields(string(e.Value))
	id := strings.TrimPrefix(e.Key, "server/")
	return plan.Server{ID: model.ServerID(id), Service: model.ServiceID(fields[0]), Domain: model.Domain(fields[1]), Primary: fields[2] == "primary", Revision: e.Revision}, true, nil
}

func (serverDecoder) ServerID(key string) (model.ServerID, bool) {
	id, ok := strings.CutPrefix(key, "server/")
	return model.ServerID(id), ok
}

func (serverDecoder) ServerKey(id model.ServerID) string { return "server/" + string(id) }

// domainFleet is a store with instances that only hold rights.
type domainFleet struct {
	table   *kvsim.Table
	domains map[model.InstanceID]model.Domain
	rights  map[model.InstanceID]*right.Manager
	stops   map[model.InstanceID]context.CancelFunc
	// primaries are the domains of the primaries.
	primaries map[model.ServiceID]model.Domain
}

func newDomainFleet() *domainFleet {
	f := &domainFleet{kvsim.New(), map[model.InstanceID]model.Domain{}, map[model.InstanceID]*right.Manager{}, map[model.InstanceID]context.CancelFunc{}, map[model.ServiceID]model.Domain{}}
	f.table.Set("config", nil)
	return f
}

// fleetDomains are the failure domains of a domainFleet.
var fleetDomains = []model.Domain{"a", "b", "c"}

// start starts instance i in failure domain i modulo 3.
func (f *domainFleet) start(i int) {
	id, domain := model.InstanceID(fmt.Sprint("i", i)), fleetDomains[i%3]
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	log := slog.New(slog.NewTextHandler(GinkgoWriter, nil)).With("self", string(id))
	n := &Node{config: Config{ToleratedDomains: 1}}
	client := f.table.Client()
	n.view = view.New(ctx, view.Config{
		OwnPrefix: "own/", Decoder: serverDecoder{}, Changed: func(view.State) {}, Log: log,
		Sources: func(*view.State) []view.Source { return []view.Source{view.StoreSource{Table: client}} },
	})
	f.domains[id], f.stops[id] = domain, cancel
	f.rights[id] = right.NewManager(ctx, right.Config{
		Table: client, View: n.view, Self: plan.Instance{ID: id, Domain: domain, Address: "h:1", Weight: 1}, Wanted: n.wantedRights, Log: log,
	})
}

// register writes the entries of a service with a server in each of the domains. The domain of the
// primary is given by its index modulo 3.
func (f *domainFleet) register(service, primary int) {
	id := model.ServiceID(fmt.Sprint("s", service))
	f.primaries[id] = fleetDomains[primary%3]
	for k, role := range []string{"primary", "replica", "replica"} {
		domain := fleetDomains[(primary+k)%3]
		f.table.Set(fmt.Sprintf("server/%s-%s", id, domain), []byte(fmt.Sprintf("%s %s %s", id, domain, role)))
	}
}

// monitors returns the entries of the rights to monitor the services.
func (f *domainFleet) monitors() map[model.ServiceID]store.Entry {
	entries := map[model.ServiceID]store.Entry{}
	for id := range f.primaries {
		entries[id], _ = f.table.Get("own/right/" + monitorRight(id))
	}
	return entries
}

// apart checks that each monitor is in another domain than its primary.
func (f *domainFleet) apart(g Gomega) {
	for id, domain := range f.primaries {
		g.Expect(f.holderDomain(monitorRight(id))).NotTo(BeElementOf(model.Domain(""), domain), string(id))
	}
}

// holderDomain returns the domain of the instance that holds a right, or an empty one.
func (f *domainFleet) holderDomain(name string) model.Domain {
	for id, rights := range f.rights {
		if _, _, ok := rights.Holds(clock.Now(), name); ok {
			return f.domains[id]
		}
	}
	return ""
}

// Monitors that had been acquired before their primaries registered were in the domains of these, and
// were lost together with them.
var _ = Describe("In a fleet that bears the loss of a failure domain", Ordered, func() {
	var f *domainFleet
	BeforeEach(func() { f = newDomainFleet() })
	settle := func(check func(g Gomega)) {
		Eventually(check).WithTimeout(30 * time.Second).WithPolling(20 * time.Millisecond).Should(Succeed())
	}
	for seed := range uint64(2) {
		It(fmt.Sprint("no monitor stays in the domain of its primary, in order of starts ", seed), func() {
			var starts []func()
			for i := range 6 {
				starts = append(starts, func() { f.start(i) })
			}
			for i := range 6 {
				starts = append(starts, func() { f.register(i, i) })
			}
			random := rand.New(rand.NewPCG(seed, 0))
			random.Shuffle(len(starts), func(i, k int) { starts[i], starts[k] = starts[k], starts[i] })
			for _, start := range starts {
				start()
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			}
			settle(f.apart)
			By("promoting servers in other domains")
			for i := range 6 {
				f.register(i, i+1)
			}
			settle(f.apart)
			By("checking that no right is written any more")
			Consistently(f.monitors).WithTimeout(3 * time.Second).Should(Equal(f.monitors()))
		})
	}

	It("the issuers of a group of accounts move to different domains", func() {
		f.register(0, 0)
		for i := range 3 {
			f.start(3 * i)
		}
		settle(func(g Gomega) {
			for issuer := range 3 {
				g.Expect(f.holderDomain(issuerRight(0, issuer))).To(Equal(model.Domain("a")))
			}
		})
		f.start(1)
		f.start(2)
		settle(func(g Gomega) {
			for group := range accountGroups {
				found := map[model.Domain]bool{}
				for issuer := range 3 {
					found[f.holderDomain(issuerRight(group, issuer))] = true
				}
				g.Expect(found).To(And(HaveLen(3), Not(HaveKey(model.Domain("")))), "group %d", group)
			}
		})
	})

	It("a domain that returns costs few writes, and its rights move at most once", func() {
		for i := range 9 {
			f.start(i)
		}
		for i := range 12 {
			f.register(i, i)
		}
		settle(f.apart)
		By("losing domain c, whose primaries are replaced")
		for i := 2; i < 9; i += 3 {
			id := model.InstanceID(fmt.Sprint("i", i))
			f.stops[id]()
			delete(f.rights, id)
		}
		for i := 2; i < 12; i += 3 {
			f.register(i, 0)
		}
		settle(f.apart)
		// The rights of a moment ago are settled when nothing but renewals happens.
		var before uint64
		settle(func(g Gomega) {
			before = f.table.Revision()
			time.Sleep(2500 * time.Millisecond)
			g.Expect(f.table.Revision()).To(Equal(before))
		})
		holders := f.monitors()
		for i := 2; i < 9; i += 3 {
			f.start(i)
		}
		// Three checks for rights that other instances should hold.
		time.Sleep(6 * time.Second)
		moved := 0
		for id, entry := range f.monitors() {
			if string(entry.Value) != string(holders[id].Value) {
				moved++
			}
		}
		Expect(moved).To(BeNumerically("<=", 4))
		Expect(f.table.Revision()-before).To(BeNumerically("<=", 24), "3 for each registration, and a few rights")
		f.apart(NewWithT(GinkgoT()))
	})

	It("instances keep the monitors if all of them are in the domain of the primary", func() {
		f.register(0, 0)
		f.start(0)
		f.start(3)
		settle(func(g Gomega) { g.Expect(f.holderDomain(monitorRight("s0"))).To(Equal(model.Domain("a"))) })
		Consistently(f.monitors).WithTimeout(3 * time.Second).Should(Equal(f.monitors()))
	})
})
