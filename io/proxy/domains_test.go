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
}

func newDomainFleet() *domainFleet {
	f := &domainFleet{kvsim.New(), map[model.InstanceID]model.Domain{}, map[model.InstanceID]*right.Manager{}, map[model.InstanceID]context.CancelFunc{}}
	f.table.Set("config", nil)
	return f
}

// start starts an instance in a failure domain.
func (f *domainFleet) start(id model.InstanceID, domain model.Domain) {
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

// register writes the entries of a service with a server in each of the domains, the first of which
// has the primary.
func (f *domainFleet) register(service string, domains ...model.Domain) {
	for i, domain := range domains {
		role := "replica"
		if i == 0 {
			role = "primary"
		}
		f.table.Set(fmt.Sprintf("server/%s-%s", service, domain), []byte(fmt.Sprintf("%s %s %s", service, domain, role)))
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
	domains := []model.Domain{"a", "b", "c"}
	settle := func(f *domainFleet, check func(g Gomega)) {
		Eventually(check).WithTimeout(30 * time.Second).WithPolling(20 * time.Millisecond).Should(Succeed())
	}
	apart := func(f *domainFleet, primaries map[string]model.Domain) func(g Gomega) {
		return func(g Gomega) {
			for service, domain := range primaries {
				holder := f.holderDomain(monitorRight(model.ServiceID(service)))
				g.Expect(holder).NotTo(BeElementOf(model.Domain(""), domain), service)
			}
		}
	}
	for seed := range uint64(2) {
		It(fmt.Sprint("no monitor stays in the domain of its primary, in order of starts ", seed), func() {
			f := newDomainFleet()
			var starts []func()
			for i := range 6 {
				starts = append(starts, func() { f.start(model.InstanceID(fmt.Sprint("i", i)), domains[i%3]) })
			}
			primaries := map[string]model.Domain{}
			for i := range 6 {
				service := fmt.Sprint("s", i)
				primaries[service] = domains[i%3]
				starts = append(starts, func() { f.register(service, domains[i%3], domains[(i+1)%3], domains[(i+2)%3]) })
			}
			random := rand.New(rand.NewPCG(seed, 0))
			random.Shuffle(len(starts), func(i, k int) { starts[i], starts[k] = starts[k], starts[i] })
			for _, start := range starts {
				start()
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			}
			settle(f, apart(f, primaries))
			By("promoting servers in other domains")
			for i := range 6 {
				service := fmt.Sprint("s", i)
				primaries[service] = domains[(i+1)%3]
				f.register(service, domains[(i+1)%3], domains[(i+2)%3], domains[i%3])
			}
			settle(f, apart(f, primaries))
			By("checking that no right is written any more")
			held := map[string]store.Entry{}
			for service := range primaries {
				held[service], _ = f.table.Get("own/right/" + monitorRight(model.ServiceID(service)))
			}
			Consistently(func(g Gomega) {
				for service, entry := range held {
					now, _ := f.table.Get("own/right/" + monitorRight(model.ServiceID(service)))
					g.Expect(now).To(Equal(entry))
				}
			}).WithTimeout(3 * time.Second).Should(Succeed())
		})
	}

	It("the issuers of a group of accounts move to different domains", func() {
		f := newDomainFleet()
		f.register("s0", "a", "b", "c")
		for i := range 3 {
			f.start(model.InstanceID(fmt.Sprint("a", i)), "a")
		}
		settle(f, func(g Gomega) {
			for issuer := range 3 {
				g.Expect(f.holderDomain(issuerRight(0, issuer))).To(Equal(model.Domain("a")))
			}
		})
		f.start("b0", "b")
		f.start("c0", "c")
		settle(f, func(g Gomega) {
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
		f := newDomainFleet()
		for i := range 9 {
			f.start(model.InstanceID(fmt.Sprint("i", i)), domains[i%3])
		}
		primaries := map[string]model.Domain{}
		for i := range 12 {
			service := fmt.Sprint("s", i)
			primaries[service] = domains[i%3]
			f.register(service, domains[i%3], domains[(i+1)%3], domains[(i+2)%3])
		}
		settle(f, apart(f, primaries))
		By("losing domain c, whose primaries are replaced")
		for i := 2; i < 9; i += 3 {
			id := model.InstanceID(fmt.Sprint("i", i))
			f.stops[id]()
			delete(f.rights, id)
		}
		for i := 2; i < 12; i += 3 {
			service := fmt.Sprint("s", i)
			primaries[service] = "a"
			f.register(service, "a", "b", "c")
		}
		settle(f, apart(f, primaries))
		// The rights of a moment ago are settled when nothing but renewals happens.
		var before uint64
		settle(f, func(g Gomega) {
			before = f.table.Revision()
			time.Sleep(2500 * time.Millisecond)
			g.Expect(f.table.Revision()).To(Equal(before))
		})
		holders := map[string]string{}
		for service := range primaries {
			entry, _ := f.table.Get("own/right/" + monitorRight(model.ServiceID(service)))
			holders[service] = string(entry.Value)
		}
		for i := 2; i < 9; i += 3 {
			f.start(model.InstanceID(fmt.Sprint("i", i)), "c")
		}
		// Three checks for rights that other instances should hold.
		time.Sleep(6 * time.Second)
		moved := 0
		for service := range primaries {
			entry, _ := f.table.Get("own/right/" + monitorRight(model.ServiceID(service)))
			if string(entry.Value) != holders[service] {
				moved++
			}
		}
		Expect(moved).To(BeNumerically("<=", 4))
		Expect(f.table.Revision()-before).To(BeNumerically("<=", 24), "3 for each registration, and a few rights")
		apart(f, primaries)(NewWithT(GinkgoT()))
	})

	It("instances keep the monitors if all of them are in the domain of the primary", func() {
		f := newDomainFleet()
		f.register("s0", "a", "b", "c")
		f.start("a0", "a")
		f.start("a1", "a")
		settle(f, func(g Gomega) { g.Expect(f.holderDomain("lead-s0")).To(Equal(model.Domain("a"))) })
		entry, _ := f.table.Get("own/right/lead-s0")
		Consistently(func() store.Entry {
			now, _ := f.table.Get("own/right/lead-s0")
			return now
		}).WithTimeout(3 * time.Second).Should(Equal(entry))
	})
})
