package right_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/pace"
	"pomelofork/emul/kvsim"
	"pomelofork/io/clock"
	"pomelofork/io/right"
	"pomelofork/io/store"
)

var _ = Describe("A store that is restored from an older copy", func() {
	var t *kvsim.Table
	BeforeEach(func() {
		t = kvsim.New()
		t.Set("config", nil)
	})
	// owner returns the value of the entry of the right "r" in the store.
	owner := func() string {
		e, _ := t.Get("own/right/r")
		return string(e.Value)
	}
	// neverBoth fails if both hold the right at a moment of the given time, and returns for how many
	// of the checks a held it.
	neverBoth := func(a, b *member, d time.Duration) float64 {
		checks, held := 0, 0
		for until := time.Now().Add(d); time.Now().Before(until); {
			inA, inB := a.holds(), b.holds()
			Expect(inA && inB).To(BeFalse())
			if checks++; inA {
				held++
			}
			time.Sleep(2 * time.Millisecond)
		}
		return float64(held) / float64(checks)
	}

	It("leaves a right with its holder, without a gap, if the copy lacks it", func() {
		empty := t.Copy()
		a := join(t, "a")
		onlyHolder(a)
		b := join(t, "b")
		Eventually(func() bool { _, ok := t.Get("own/instance/b"); return ok }).WithTimeout(waitTimeout).Should(BeTrue())
		since, fence, _ := a.manager.Holds(clock.Now(), "r")
		t.Restore(empty)
		t.Set("config", nil)
		Expect(neverBoth(a, b, 2*time.Second)).To(Equal(1.0))
		Expect(owner()).To(Equal(`{"instance":"a","era":1}`))
		again, newFence, ok := a.manager.Holds(clock.Now(), "r")
		Expect(ok).To(BeTrue())
		Expect(again).To(Equal(since))
		Expect(newFence).To(BeNumerically(">", fence))
	})

	It("leaves a right with its holder if the copy names a former one", func() {
		a := join(t, "a")
		onlyHolder(a)
		b := join(t, "b")
		Eventually(func() bool { _, ok := t.Get("own/instance/b"); return ok }).WithTimeout(waitTimeout).Should(BeTrue())
		older := t.Copy()
		a.manager.Leave(context.Background())
		onlyHolder(b)
		t.Restore(older)
		c := join(t, "c")
		Expect(neverBoth(b, c, 2*time.Second)).To(Equal(1.0))
		Expect(neverBoth(b, a, 100*time.Millisecond)).To(Equal(1.0))
	})

	It("gives a right to another instance only after its lost holder can't use it any more", func() {
		empty := t.Copy()
		a := join(t, "a")
		onlyHolder(a)
		b := join(t, "b")
		Eventually(func() bool { _, ok := t.Get("own/instance/b"); return ok }).WithTimeout(waitTimeout).Should(BeTrue())
		a.client.SetFault(kvsim.FaultTimeout)
		t.Restore(empty)
		t.Set("config", nil)
		for until := time.Now().Add(waitTimeout); !b.holds() && time.Now().Before(until); {
			time.Sleep(2 * time.Millisecond)
		}
		Expect(b.holds()).To(BeTrue())
		Expect(a.holds()).To(BeFalse())
	})

	for name, hasEntries := range map[string]bool{"has entries of before": true, "has none": false} {
		It("lets a starting instance wait for the holders that the copy may lack, if the copy "+name, func() {
			older := t.Copy()
			a := join(t, "a")
			onlyHolder(a)
			if hasEntries {
				older = t.Copy()
			}
			a.client.SetFault(kvsim.FaultTimeout)
			t.Restore(older)
			t.Set("config", nil)
			b := join(t, "b")
			Expect(neverBoth(a, b, pace.HolderLease().TTL)).To(BeNumerically(">", 0))
			onlyHolder(b)
		})
	}

	It("lets nobody acquire a right that it doesn't know of, before its holder has written it again", func() {
		var aWants, bWants atomic.Bool
		wanting := func(wants *atomic.Bool) func() []right.Spec {
			return func() []right.Spec {
				if wants.Load() {
					return []right.Spec{{Name: "r"}}
				}
				return nil
			}
		}
		a, b := joinWanting(t, "a", wanting(&aWants)), joinWanting(t, "b", wanting(&bWants))
		for _, key := range []string{"own/instance/a", "own/instance/b"} {
			Eventually(func() bool { _, ok := t.Get(key); return ok }).WithTimeout(waitTimeout).Should(BeTrue())
		}
		older := t.Copy()
		b.client.SetFault(kvsim.FaultTimeout)
		aWants.Store(true)
		t.Set("own/instance/c", []byte("{}"))
		onlyHolder(a)
		bWants.Store(true)
		// The other instance has heard nothing for longer than a watch takes.
		time.Sleep(2 * time.Second)
		a.client.SetFault(kvsim.FaultTimeout)
		t.Restore(older)
		b.client.SetFault(kvsim.FaultNone)
		Expect(neverBoth(a, b, 2*time.Second)).To(Equal(1.0))
		a.client.SetFault(kvsim.FaultNone)
		Expect(neverBoth(a, b, 2*time.Second)).To(BeNumerically(">", 0))
	})

	It("may lose the same right more than once", func() {
		empty := t.Copy()
		a, b := join(t, "a"), join(t, "b")
		holder := onlyHolder(a, b)
		other := a
		if holder == a {
			other = b
		}
		for range 3 {
			t.Restore(empty)
			t.Set("config", nil)
			Expect(neverBoth(holder, other, 700*time.Millisecond)).To(Equal(1.0))
		}
		Eventually(func() uint64 { e, _ := t.Get("own/right/r"); return store.Number(e.Revision) }).WithTimeout(waitTimeout).ShouldNot(BeZero())
	})
})
