package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/pace"
	"pomelofork/core/plan"
	"pomelofork/core/quota"
	"pomelofork/emul/kvsim"
	"pomelofork/emul/seed"
	"pomelofork/io/clock"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

func TestProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy", seed.Suite())
}

// state returns a state with instances, given by ID and failure domain.
func state(instances map[model.InstanceID]model.Domain) *view.State {
	s := &view.State{Instances: map[model.InstanceID]plan.Instance{}, Plan: plan.New(plan.Config{Connections: map[model.ServiceID]int{"s": 0, "alone": 0}})}
	for id, domain := range instances {
		s.Instances[id] = plan.Instance{ID: id, Domain: domain, Weight: 1}
	}
	return s
}

// names returns the names of an instance's sources.
func names(n *Node, s *view.State) []string {
	var out []string
	for _, source := range n.sources(s) {
		out = append(out, source.Name())
	}
	return out
}

var _ = Describe("The sources of the store's content", func() {
	node := func(id model.InstanceID, domain model.Domain) *Node {
		return &Node{config: Config{Self: plan.Instance{ID: id, Domain: domain}, Log: slog.New(slog.DiscardHandler)}}
	}
	fleet := map[model.InstanceID]model.Domain{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}

	It("begin with the store at one instance of each failure domain", func() {
		watchers := map[model.Domain]int{}
		for id, domain := range fleet {
			if got := names(node(id, domain), state(fleet)); got[0] == "store" {
				watchers[domain]++
			} else {
				Expect(fleet[model.InstanceID(got[0])]).To(Equal(domain))
				Expect(fleet).To(HaveKey(model.InstanceID(got[1])), "a watcher of another domain comes before the store")
				Expect(fleet[model.InstanceID(got[1])]).NotTo(Equal(domain))
				Expect(got[2]).To(Equal("store"))
			}
		}
		Expect(watchers).To(Equal(map[model.Domain]int{"a": 1, "b": 1, "c": 1}))
	})

	// A failure of the instance paused the calls to the store, and the reverse.
	It("have different names, also if an instance is called like the store", func() {
		for id, domain := range fleet {
			for _, other := range []model.InstanceID{"a1", "a2", "b1", "b2"} {
				renamed := maps.Clone(fleet)
				renamed["store"] = renamed[other]
				delete(renamed, other)
				sorted := slices.Sorted(slices.Values(names(node(id, domain), state(renamed))))
				Expect(slices.Compact(slices.Clone(sorted))).To(Equal(sorted))
			}
		}
	})

	It("begin with the store at a few instances of a large failure domain, which share the others as followers", func() {
		large := map[model.InstanceID]model.Domain{}
		for i := range 100 {
			large[model.InstanceID(fmt.Sprint("a", i))] = "a"
		}
		first := map[string]int{}
		for id := range large {
			first[names(node(id, "a"), state(large))[0]]++
		}
		Expect(first["store"]).To(Equal(5))
		Expect(first).To(HaveLen(6))
	})

	It("include watchers in other failure domains", func() {
		for id, domain := range fleet {
			Expect(len(names(node(id, domain), state(fleet)))).To(BeNumerically(">=", 3))
		}
	})

	It("include peers also when the instance's own registration has expired", func() {
		without := map[model.InstanceID]model.Domain{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
		Expect(names(node("c1", "c"), state(without))).To(HaveLen(3))
	})

	It("leave out the store for a while after it has failed to answer a follower", func() {
		large := map[model.InstanceID]model.Domain{}
		for i := range 100 {
			large[model.InstanceID(fmt.Sprint("a", i))] = "a"
		}
		for id := range large {
			n := node(id, "a")
			if names(n, state(large))[0] == "store" {
				continue
			}
			Expect(names(n, state(large))).To(ContainElement("store"))
			n.directFailedAt.Store(clock.Now().UnixNano())
			Expect(names(n, state(large))).NotTo(ContainElement("store"))
			n.directFailedAt.Store(clock.Now().Add(-pace.DirectInterval(len(large))).UnixNano())
			Expect(names(n, state(large))).To(ContainElement("store"))
		}
	})

	It("are only the store while no instance is known", func() {
		Expect(names(node("c1", "c"), state(nil))).To(Equal([]string{"store"}))
	})
})

var _ = Describe("Values sent to followers", func() {
	It("are decoded unchanged, and large ones are compressed only once", func() {
		large := store.Entry{Key: "l", Revision: 1, Value: []byte(strings.Repeat("route ", 10_000))}
		small := store.Entry{Key: "s", Revision: 2, Value: []byte("x")}
		removed := store.Entry{Key: "g", Revision: 3, Removed: true}
		values := newEncodedValues()
		out := values.encode([]store.Entry{large, small, removed})
		Expect(len(out[0].Value)).To(BeNumerically("<", len(large.Value)/10))
		Expect(&values.encode([]store.Entry{large})[0].Value[0]).To(BeIdenticalTo(&out[0].Value[0]))
		Expect(decode(out)).To(Succeed())
		Expect(out[0]).To(Equal(large))
		Expect(out[1]).To(Equal(small))
		Expect(out[2].Removed).To(BeTrue())
	})

	It("are rejected if they can't be decoded", func() {
		Expect(decode([]store.Entry{{Key: "a"}})).NotTo(Succeed())
		Expect(decode([]store.Entry{{Key: "a", Value: []byte{packedValue, 7, 7, 7}}})).NotTo(Succeed())
	})
})

var _ = Describe("Monitoring primaries", func() {
	It("covers only the services for which the instance holds the right", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		n := newNodeFor(kvsim.New(), 0)
		n.monitors = map[model.ServiceID]context.CancelFunc{}
		n.updateMonitors(ctx, []string{"rate-1", monitorRight("a"), monitorRight("b")})
		Expect(n.monitors).To(HaveLen(2))
		n.updateMonitors(ctx, []string{monitorRight("b")})
		Expect(n.monitors).To(HaveLen(1))
		Expect(n.monitors).To(HaveKey(model.ServiceID("b")))
		n.updateMonitors(ctx, nil)
		Expect(n.monitors).To(BeEmpty())
	})
})

var _ = Describe("A value derived from a part of the state", func() {
	It("is computed again only after a change of that part", func() {
		var d derived[int]
		computed := 0
		next := func() int { computed++; return computed }
		Expect(d.get(0, next)).To(Equal(1))
		Expect(d.get(0, next)).To(Equal(1))
		Expect(d.get(1, next)).To(Equal(2))
	})
})

var _ = Describe("The wanted rights", func() {
	It("prefer failure domains that keep issuers apart, and monitors away from their primary", func() {
		s := state(nil)
		s.Servers = map[model.ServerID]plan.Server{
			"1": {ID: "1", Service: "s", Domain: "a", Primary: true}, "2": {ID: "2", Service: "s", Domain: "b"}, "3": {ID: "3", Service: "s", Domain: "c"},
			"4": {ID: "4", Service: "alone", Domain: "d", Primary: true},
		}
		domains := map[string]model.Domain{}
		for _, spec := range (&Node{}).wantedRights(s) {
			domains[spec.Name] = spec.Domain
		}
		Expect(domains).To(HaveLen(accountGroups*quota.MaxIssuers + 2))
		for group := range accountGroups {
			Expect(domains[issuerRight(group, 0)]).NotTo(Equal(domains[issuerRight(group, 1)]), "an account's issuers are in different failure domains")
			Expect(domains[issuerRight(group, 1)]).NotTo(Equal(domains[issuerRight(group, 2)]))
		}
		Expect(domains[monitorRight("s")]).To(Equal(model.Domain("b")))
		Expect(domains[monitorRight("alone")]).To(Equal(model.Domain("d")))
	})

	// Such an entry had its service monitored, and promotions called for.
	It("don't concern servers of services that the configuration doesn't name", func() {
		s := state(nil)
		s.Servers = map[model.ServerID]plan.Server{"1": {ID: "1", Service: "other", Domain: "a", Primary: true}, "2": {ID: "2", Service: "s", Domain: "b"}}
		n := &Node{}
		var monitors []string
		for _, spec := range n.wantedRights(s) {
			Expect(spec.Domain).To(Equal(model.Domain("b")))
			if strings.HasPrefix(spec.Name, monitorRightPrefix) {
				monitors = append(monitors, spec.Name)
			}
		}
		Expect(monitors).To(Equal([]string{monitorRight("s")}))
		s.Plan, s.ChangeCounts.Plan = plan.New(plan.Config{Routes: map[string]plan.Route{"h": {Service: "other"}}}), 1
		Expect(n.wantedRights(s)).To(ContainElement(HaveField("Name", monitorRight("other"))), "the next configuration names it")
	})

	for name, c := range map[string]struct {
		evacuated, issuers []model.Domain
		// apart is where the monitor is preferred if the loss of a domain has to be borne.
		monitor, apart model.Domain
	}{
		"a replica's":       {[]model.Domain{"b"}, []model.Domain{"a", "c"}, "c", "c"},
		"the primary's":     {[]model.Domain{"a"}, []model.Domain{"b", "c"}, "b", "b"},
		"those of replicas": {[]model.Domain{"b", "c"}, []model.Domain{"a"}, "a", "b"},
		"all":               {[]model.Domain{"a", "b", "c"}, []model.Domain{"a", "b", "c"}, "b", "b"},
		"an unknown one":    {[]model.Domain{"x"}, []model.Domain{"a", "b", "c"}, "b", "b"},
	} {
		It("don't prefer evacuated failure domains: "+name, func() {
			s := state(nil)
			s.Servers, s.Services, s.Evacuations = map[model.ServerID]plan.Server{}, map[model.ServiceID][]plan.Server{}, map[model.Domain]view.Evacuation{}
			for i, domain := range []model.Domain{"a", "b", "c"} {
				server := plan.Server{ID: model.ServerID(fmt.Sprint(i + 1)), Service: "s", Domain: domain, Primary: i == 0}
				if slices.Contains(c.evacuated, domain) {
					server.EvacuatedSince = clock.Now()
				}
				s.Servers[server.ID], s.Services["s"] = server, append(s.Services["s"], server)
			}
			for _, domain := range c.evacuated {
				s.Evacuations[domain] = view.Evacuation{Since: clock.Now()}
			}
			issuers := map[model.Domain]bool{}
			for apart, monitor := range map[bool]model.Domain{false: c.monitor, true: c.apart} {
				for _, spec := range findWantedRights(s, apart) {
					if spec.Name == monitorRight("s") {
						Expect(spec.Domain).To(Equal(monitor))
					} else {
						issuers[spec.Domain] = true
					}
				}
			}
			Expect(slices.Sorted(maps.Keys(issuers))).To(Equal(c.issuers))
		})
	}
})

var _ = Describe("Evacuations of failure domains", func() {
	for bound, want := range map[time.Duration]bool{0: false, -1: false, time.Second: true} {
		It(fmt.Sprintf("are found only if there is a bound for them: %s", bound), func() {
			c := Config{EvacuationBound: bound, Decoder: evacuationDecoder{}, Log: slog.New(slog.DiscardHandler)}
			_, ok := c.evacuationDecoder().Evacuation("evacuate/a")
			Expect(ok).To(Equal(want))
		})
	}
})

// evacuationDecoder takes every key for that of an evacuation.
type evacuationDecoder struct{ planDecoder }

func (evacuationDecoder) Evacuation(key string) (model.Domain, bool) { return model.Domain(key), true }
