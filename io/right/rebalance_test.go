package right_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/emul/kvsim"
	"pomelofork/io/clock"
	"pomelofork/io/right"
)

// makeSpecs returns a number of non-urgent rights and one that is urgent.
func makeSpecs(nonUrgent int) []right.Spec {
	specs := []right.Spec{{Name: "rate"}}
	for i := range nonUrgent {
		specs = append(specs, right.Spec{Name: fmt.Sprint("lead-", i), NonUrgent: true})
	}
	return specs
}

// count returns how many of the rights a member holds.
func (m *member) count(wanted []right.Spec) int {
	n := 0
	for _, spec := range wanted {
		if _, _, ok := m.manager.Holds(clock.Now(), spec.Name); ok {
			n++
		}
	}
	return n
}

var _ = Describe("A fleet whose instances start one after the other", func() {
	It("doesn't leave all rights with the first instance", func() {
		t := kvsim.New()
		t.Set("config", nil)
		wanted := makeSpecs(100)
		first := joinFor(t, "first", wanted)
		Eventually(func() int { return first.count(wanted) }).WithTimeout(waitTimeout).Should(Equal(101))
		members := []*member{first}
		for i := range 9 {
			members = append(members, joinFor(t, model.InstanceID(fmt.Sprint("m", i)), wanted))
		}
		Eventually(func(g Gomega) {
			sum := 0
			for _, m := range members {
				n := m.count(wanted)
				sum += n
				g.Expect(n).To(BeNumerically("<=", 2*11+8))
			}
			g.Expect(sum).To(Equal(101))
		}).WithTimeout(waitTimeout).Should(Succeed())
		_, _, ok := first.manager.Holds(clock.Now(), "rate")
		Expect(ok).To(BeTrue(), "an urgent right is not transferred")
	})

	It("transfers all rights when the holder of many leaves", func() {
		t := kvsim.New()
		t.Set("config", nil)
		wanted := makeSpecs(60)
		first := joinFor(t, "first", wanted)
		Eventually(func() int { return first.count(wanted) }).WithTimeout(waitTimeout).Should(Equal(61))
		other := joinFor(t, "other", nil)
		Eventually(func() bool { return other.manager.LeaseValid(clock.Now()) }).WithTimeout(waitTimeout).Should(BeTrue())
		// Gives the view of the leaving instance the time to show the other one as well.
		time.Sleep(200 * time.Millisecond)
		first.manager.Leave(context.Background())
		for _, spec := range wanted {
			entry, ok := t.Get("own/right/" + spec.Name)
			Expect(ok).To(BeTrue(), spec.Name)
			Expect(string(entry.Value)).To(ContainSubstring("other"))
		}
	})

	It("has different instances hold the rights of a spread group", func() {
		t := kvsim.New()
		t.Set("config", nil)
		wanted := []right.Spec{{Name: "rate-0", SpreadGroup: "rate"}, {Name: "rate-1", SpreadGroup: "rate"}, {Name: "rate-2", SpreadGroup: "rate"}}
		first := joinFor(t, "first", wanted)
		Eventually(func() int { return first.count(wanted) }).WithTimeout(waitTimeout).Should(Equal(3))
		members := []*member{first, joinFor(t, "m1", wanted), joinFor(t, "m2", wanted)}
		Eventually(func(g Gomega) {
			for _, m := range members {
				g.Expect(m.count(wanted)).To(Equal(1))
			}
		}).WithTimeout(waitTimeout).Should(Succeed())
		Consistently(func() int { return first.count(wanted) }).WithTimeout(3 * time.Second).Should(Equal(1))
	})

	It("never has two holders of a right while the answer to its transfer is lost", func() {
		t := kvsim.New()
		t.Set("config", nil)
		wanted := []right.Spec{{Name: "rate-0", SpreadGroup: "rate"}, {Name: "rate-1", SpreadGroup: "rate"}}
		first := joinFor(t, "first", wanted)
		Eventually(func() int { return first.count(wanted) }).WithTimeout(waitTimeout).Should(Equal(2))
		first.client.SetFault(kvsim.FaultLoseTxnAnswer)
		other := joinFor(t, "other", wanted)
		Eventually(func() int {
			for _, spec := range wanted {
				_, _, here := first.manager.Holds(clock.Now(), spec.Name)
				_, _, there := other.manager.Holds(clock.Now(), spec.Name)
				Expect(here && there).To(BeFalse(), spec.Name)
			}
			return other.count(wanted)
		}).WithTimeout(waitTimeout).WithPolling(time.Millisecond).Should(Equal(1))
	})

	It("transfers no rights when there are few instances", func() {
		t := kvsim.New()
		t.Set("config", nil)
		wanted := makeSpecs(8)
		first := joinFor(t, "first", wanted)
		Eventually(func() int { return first.count(wanted) }).WithTimeout(waitTimeout).Should(Equal(9))
		other := joinFor(t, "other", wanted)
		Consistently(func() int { return other.count(wanted) }).WithTimeout(3 * time.Second).Should(BeZero())
	})
})

var _ = Describe("Rights that avoid a failure domain", func() {
	// A lost domain's instances are registered until their leases end. Rights that were transferred to
	// them in that time were unused for seconds.
	It("stay rather than go to an instance that may have failed", func() {
		t := kvsim.New()
		t.Set("config", nil)
		wanted := []right.Spec{{Name: "r", Domain: "lost", Avoid: "a"}}
		want := func() []right.Spec { return wanted }
		first := joinAvoiding(t, "first", "a", want, "lost")
		Eventually(first.holds).WithTimeout(waitTimeout).Should(BeTrue())
		joinIn(t, "other", "lost", want)
		Consistently(first.holds).WithTimeout(3 * time.Second).Should(BeTrue())
		joinIn(t, "third", "b", want)
		Eventually(first.holds).WithTimeout(waitTimeout).Should(BeFalse())
		entry, _ := t.Get("own/right/r")
		Expect(string(entry.Value)).To(ContainSubstring("third"))
	})

	It("leave an instance there soon, also if it holds hundreds, and don't return as excess", func() {
		t := kvsim.New()
		t.Set("config", nil)
		wanted := makeSpecs(100)
		for i := range wanted {
			wanted[i].Avoid = "a"
		}
		want := func() []right.Spec { return wanted }
		first := joinIn(t, "first", "a", want)
		Eventually(func() int { return first.count(wanted) }).WithTimeout(waitTimeout).Should(Equal(101))
		for i := range 9 {
			joinIn(t, model.InstanceID(fmt.Sprint("a", i)), "a", want)
		}
		other := joinIn(t, "other", "b", want)
		Eventually(func() int { return other.count(wanted) }).WithTimeout(waitTimeout).Should(Equal(101))
		Consistently(func() int { return other.count(wanted) }).WithTimeout(3 * time.Second).Should(Equal(101))
	})
})
