package right_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/emul/kvsim"
	"pomelofork/emul/seed"
	"pomelofork/io/clock"
	"pomelofork/io/right"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

func TestRight(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "right", seed.Suite())
}

// decoder decodes an empty configuration under the key "config", and no servers.
type decoder struct{}

func (decoder) Plan(e store.Entry) (*plan.Plan, bool, error) {
	return plan.New(plan.Config{Version: 1}), e.Key == "config", nil
}
func (decoder) Server(store.Entry) (plan.Server, bool, error) { return plan.Server{}, false, nil }
func (decoder) ServerID(string) (model.ServerID, bool)        { return "", false }
func (decoder) ServerKey(model.ServerID) string               { return "none" }
func (decoder) Evacuation(string) (model.Domain, bool)        { return "", false }
func (decoder) EvacuationKey(model.Domain) string             { return "none" }

// member is one instance with its own client of the store.
type member struct {
	client  *kvsim.Client
	view    *view.View
	manager *right.Manager
	stop    context.CancelFunc
}

// join starts an instance that tries to hold the right "r".
func join(t *kvsim.Table, id model.InstanceID) *member {
	return joinFor(t, id, []right.Spec{{Name: "r"}})
}

// joinFor starts an instance that tries to hold the given rights.
func joinFor(t *kvsim.Table, id model.InstanceID, wanted []right.Spec) *member {
	return joinWanting(t, id, func() []right.Spec { return wanted })
}

// joinWanting starts an instance that tries to hold the rights that a function returns.
func joinWanting(t *kvsim.Table, id model.InstanceID, wanted func() []right.Spec) *member {
	return joinIn(t, id, "", wanted)
}

// joinIn does the same in a failure domain.
func joinIn(t *kvsim.Table, id model.InstanceID, domain model.Domain, wanted func() []right.Spec) *member {
	return joinAvoiding(t, id, domain, wanted, "")
}

// joinAvoiding does the same for an instance that suspects a failure domain.
func joinAvoiding(t *kvsim.Table, id model.InstanceID, domain model.Domain, wanted func() []right.Spec, suspected model.Domain) *member {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	client := t.Client()
	log := slog.New(slog.DiscardHandler)
	v := view.New(ctx, view.Config{
		OwnPrefix: "own/", Established: true, Decoder: decoder{}, Changed: func(view.State) {}, Log: log,
		Sources: func(*view.State) []view.Source { return []view.Source{view.StoreSource{Table: client}} },
	})
	return &member{client, v, right.NewManager(ctx, right.Config{
		Table: client, View: v, Self: plan.Instance{ID: id, Domain: domain, Weight: 1}, Log: log,
		Wanted: func(*view.State) []right.Spec { return wanted() },
		Usable: func(inst plan.Instance) bool { return suspected == "" || inst.Domain != suspected },
	}), cancel}
}

// holds reports whether the member holds the right "r".
func (m *member) holds() bool {
	_, _, ok := m.manager.Holds(clock.Now(), "r")
	return ok
}

// waitTimeout is the longest time to wait for an expected state.
const waitTimeout = 30 * time.Second

// onlyHolder waits until exactly one of the members holds the right "r", and returns it.
func onlyHolder(members ...*member) *member {
	var holder *member
	Eventually(func() int {
		n := 0
		for _, m := range members {
			if m.holds() {
				n, holder = n+1, m
			}
		}
		return n
	}).WithTimeout(waitTimeout).Should(Equal(1))
	return holder
}

var _ = Describe("Manager", func() {
	var t *kvsim.Table
	BeforeEach(func() {
		t = kvsim.New()
		t.Set("config", nil)
	})

	It("lets one instance hold a right, and transfers it when that instance leaves", func() {
		a, b := join(t, "a"), join(t, "b")
		holder := onlyHolder(a, b)
		other := a
		if holder == a {
			other = b
		}
		holder.manager.Leave(context.Background())
		Expect(holder.holds()).To(BeFalse())
		Eventually(other.holds).WithTimeout(waitTimeout).Should(BeTrue())
	})

	It("never has two holders while the store does not answer one of them", func() {
		a, b := join(t, "a"), join(t, "b")
		holder := onlyHolder(a, b)
		other := a
		if holder == a {
			other = b
		}
		holder.client.SetFault(kvsim.FaultTimeout)
		for until := time.Now().Add(waitTimeout); !other.holds() && time.Now().Before(until); {
			time.Sleep(2 * time.Millisecond)
		}
		Expect(other.holds()).To(BeTrue())
		Expect(holder.holds()).To(BeFalse())
	})

	It("transfers the right of a leaving holder without a moment in which it is free", func() {
		a, b := join(t, "a"), join(t, "b")
		holder := onlyHolder(a, b)
		next := model.InstanceID("a")
		if holder == a {
			next = "b"
		}
		Eventually(func() bool {
			_, ok := t.Get("own/instance/" + string(next))
			return ok
		}).WithTimeout(waitTimeout).Should(BeTrue())
		Eventually(func() bool {
			_, ok := holder.view.State().Instances[next]
			return ok
		}).WithTimeout(waitTimeout).Should(BeTrue(), "the leaving instance knows the next one")
		before, _ := t.Get("own/right/r")
		holder.manager.Leave(context.Background())
		after, ok := t.Get("own/right/r")
		Expect(ok).To(BeTrue(), "the right is never free")
		Expect(string(after.Value)).To(ContainSubstring(string(next)))
		Expect(after.Revision).To(BeNumerically(">", before.Revision))
	})

	It("has a short lease while it holds rights, and a long one without any", func() {
		a, b := join(t, "a"), join(t, "b")
		holder := onlyHolder(a, b)
		names := [2]string{"a", "b"}
		if holder == b {
			names = [2]string{"b", "a"}
		}
		ttl := func(name string) func() time.Duration {
			return func() time.Duration {
				entry, _ := t.Get("own/instance/" + name)
				return t.TTL(entry.Lease)
			}
		}
		Eventually(ttl(names[0])).WithTimeout(waitTimeout).Should(Equal(3500 * time.Millisecond))
		Eventually(ttl(names[1])).WithTimeout(waitTimeout).Should(Equal(9 * time.Second))
		held, _ := t.Get("own/right/r")
		entry, _ := t.Get("own/instance/" + names[0])
		Expect(held.Lease).To(Equal(entry.Lease))
		By("transferring the right, after which the recipient gets a short lease")
		time.Sleep(200 * time.Millisecond)
		holder.manager.Leave(context.Background())
		Eventually(ttl(names[1])).WithTimeout(waitTimeout).Should(Equal(3500 * time.Millisecond))
		Eventually(func() bool {
			held, _ := t.Get("own/right/r")
			entry, _ := t.Get("own/instance/" + names[1])
			return held.Lease == entry.Lease
		}).WithTimeout(waitTimeout).Should(BeTrue())
	})

	It("has a higher fence for each holder", func() {
		a := join(t, "a")
		onlyHolder(a)
		_, first, _ := a.manager.Holds(clock.Now(), "r")
		second, err := a.manager.NewFence(context.Background(), 0, "r")
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(BeNumerically(">", first))
		a.manager.Leave(context.Background())
		b := join(t, "b")
		onlyHolder(b)
		_, third, _ := b.manager.Holds(clock.Now(), "r")
		Expect(third).To(BeNumerically(">", second))
		_, err = a.manager.NewFence(context.Background(), 0, "r")
		Expect(err).To(HaveOccurred())
	})

	// An instance that gets no answers at all can't obtain the lease of a holder, so only this one is lost.
	It("holds a right that it acquired in a call whose answer was lost", func() {
		former := t.RawClient()
		lease, _, _, err := former.Grant(context.Background(), time.Minute)
		Expect(err).NotTo(HaveOccurred())
		held := store.Put{Key: "own/right/r", Value: []byte(`{"instance":"former"}`), Lease: lease}
		_, _, err = former.Commit(context.Background(), store.Txn{Puts: []store.Put{held}})
		Expect(err).NotTo(HaveOccurred())
		b := join(t, "b")
		Eventually(func() bool { return b.manager.LeaseValid(clock.Now()) }).WithTimeout(waitTimeout).Should(BeTrue())
		b.client.LoseAnswerTo(held.Key)
		_, err = former.End(context.Background(), lease)
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.holds).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(b.client.AnswerLost()).To(BeTrue())
	})

	It("keeps the rights of its own former run when it starts again, under a new lease", func() {
		a := join(t, "a")
		onlyHolder(a)
		entry, ok := t.Get("own/right/r")
		Expect(ok).To(BeTrue())
		a.stop()
		again, other := join(t, "a"), join(t, "b")
		Expect(onlyHolder(again, other)).To(BeIdenticalTo(again))
		now, ok := t.Get("own/right/r")
		Expect(ok).To(BeTrue())
		Expect(now.Lease).NotTo(Equal(entry.Lease))
	})

	It("frees the other rights of its former run if another instance has acquired one", func() {
		two := []right.Spec{{Name: "r"}, {Name: "r2"}}
		a := joinFor(t, "a", two)
		onlyHolder(a)
		a.stop()
		t.Set("own/right/r2", []byte(`{"instance":"gone"}`))
		again := joinFor(t, "a", two)
		onlyHolder(again)
		_, _, ok := again.manager.Holds(clock.Now(), "r2")
		Expect(ok).To(BeFalse())
	})

	It("renews the lease of its former run if that held no right", func() {
		a := joinFor(t, "a", nil)
		Eventually(func() bool { return a.manager.LeaseValid(clock.Now()) }).WithTimeout(waitTimeout).Should(BeTrue())
		entry, ok := t.Get("own/instance/a")
		Expect(ok).To(BeTrue())
		a.stop()
		again := joinFor(t, "a", nil)
		Eventually(func() bool { return again.manager.LeaseValid(clock.Now()) }).WithTimeout(waitTimeout).Should(BeTrue())
		now, ok := t.Get("own/instance/a")
		Expect(ok).To(BeTrue())
		Expect(now.Lease).To(Equal(entry.Lease))
		Expect(now.Revision).To(BeNumerically(">", entry.Revision), "written again, so that a late removal by a peer fails")
	})

	It("finds out whether the store answers, with and without a lease", func() {
		a := joinFor(t, "a", nil)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		Expect(a.manager.StoreAnswers(ctx)).To(BeTrue())
		Eventually(func() bool { return a.manager.LeaseValid(clock.Now()) }).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(a.manager.StoreAnswers(ctx)).To(BeTrue())
		a.client.SetFault(kvsim.FaultRefuse)
		Expect(a.manager.StoreAnswers(ctx)).To(BeFalse())
	})

	// All instances of a large fleet lose power and start again. Their registrations are spread
	// over minutes here, but callers need the issuers of tokens at once.
	It("has its former rights at once when a whole fleet starts", func() {
		a := join(t, "a")
		onlyHolder(a)
		a.stop()
		for i := range 5000 {
			t.Set(fmt.Sprint("own/instance/i", i), []byte(`{"address":"h:1","domain":"d","weight":1}`))
		}
		again := join(t, "a")
		Eventually(again.holds).WithTimeout(5 * time.Second).Should(BeTrue())
	})
})
