package view_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/emul/kvsim"
	"pomelofork/io/clock"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

var _ = Describe("Evacuations of failure domains", func() {
	var t *kvsim.Table
	var v *view.View
	var client *kvsim.Client
	BeforeEach(func() {
		t = kvsim.New()
		client = t.Client()
		t.Set("config", []byte{1})
		v = start(view.StoreSource{Table: client})
		Eventually(version(v)).WithTimeout(waitTimeout).Should(Equal(uint64(1)))
	})
	evacuated := func() bool { _, ok := v.State().Evacuations["d"]; return ok }
	// evacuate writes the entry and waits until the view has it.
	evacuate := func() view.Evacuation {
		revision := store.Revision(t.Era(), t.Set("evacuate/d", nil))
		Eventually(func() uint64 { return v.State().Evacuations["d"].Revision }).WithTimeout(waitTimeout).Should(Equal(revision))
		return v.State().Evacuations["d"]
	}
	addServer := func(id string) {
		t.Set("server/"+id, []byte("ready s"))
		Eventually(func() bool { _, ok := v.State().Servers[model.ServerID(id)]; return ok }).WithTimeout(waitTimeout).Should(BeTrue())
	}

	It("mark the domain's servers, also those that appear later, until the domain is returned", func() {
		before := v.State().ChangeCounts.Servers
		since := evacuate().Since
		Expect(v.State().ChangeCounts.Servers).NotTo(Equal(before), "what was computed from the servers isn't valid any more")
		addServer("a")
		Expect(v.State().Servers["a"].EvacuatedSince).To(Equal(since))
		t.Remove("evacuate/d")
		Eventually(evacuated).WithTimeout(waitTimeout).Should(BeFalse())
		Expect(v.State().Servers["a"].Evacuated()).To(BeFalse())
		Expect(v.State().Services["s"][0].Evacuated()).To(BeFalse())
	})

	It("don't begin again when the entry is written again, but do after a return", func() {
		addServer("a")
		since := evacuate().Since
		Expect(evacuate().Since).To(Equal(since))
		Expect(v.State().Servers["a"].EvacuatedSince).To(Equal(since))
		t.Remove("evacuate/d")
		Eventually(evacuated).WithTimeout(waitTimeout).Should(BeFalse())
		Expect(evacuate().Since).To(BeTemporally(">", since))
	})

	It("end if the whole content doesn't contain the entry, and stay while the store fails", func() {
		evacuate()
		client.SetFault(kvsim.FaultRefuse)
		t.Remove("evacuate/d")
		t.Compact()
		Consistently(evacuated, "200ms").Should(BeTrue())
		client.SetFault(kvsim.FaultNone)
		Eventually(evacuated).WithTimeout(waitTimeout).Should(BeFalse())
	})

	It("count as begun long ago if the first content has them, since their bound may be over", func() {
		t.Set("evacuate/d", nil)
		v = start(view.StoreSource{Table: client})
		Eventually(evacuated).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(v.State().Evacuations["d"].Since).To(BeTemporally("<", clock.Now().Add(-30*time.Minute)))
	})

	It("count as begun at the last confirmation if that was long ago", func() {
		confirmed, _ := v.FreshAsOf()
		client.SetFault(kvsim.FaultRefuse)
		t.Set("evacuate/d", nil)
		time.Sleep(3 * time.Second)
		client.SetFault(kvsim.FaultNone)
		Eventually(evacuated).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(v.State().Evacuations["d"].Since).To(And(BeTemporally(">=", confirmed), BeTemporally("<", clock.Now().Add(-2*time.Second))))
	})

	Context("after the store was restored from a copy without the entry", func() {
		var since view.Evacuation
		BeforeEach(func() {
			addServer("a")
			older := t.Copy()
			since = evacuate()
			t.Restore(older)
			Eventually(func() bool { return v.Era() == t.Era() }).WithTimeout(waitTimeout).Should(BeTrue())
		})

		It("stay until the restore is settled and the operator had time to write the entry again", func() {
			Expect(evacuated()).To(BeTrue())
			Eventually(v.Settled).WithTimeout(waitTimeout).Should(BeTrue())
			Expect(evacuated()).To(BeTrue(), "the operator may write the entry again later than the instances")
			Eventually(evacuated).WithTimeout(waitTimeout).Should(BeFalse())
			Expect(v.State().Servers["a"].Evacuated()).To(BeFalse())
		})

		It("stay if the entry is written again, and end at once when that is removed", func() {
			Expect(evacuate().Since).To(Equal(since.Since))
			Eventually(v.Settled).WithTimeout(waitTimeout).Should(BeTrue())
			Consistently(evacuated, "1500ms").Should(BeTrue())
			t.Remove("evacuate/d")
			Eventually(evacuated).WithTimeout(waitTimeout).Should(BeFalse())
		})
	})

	It("end at once if the entry is removed from a restored store before the restore is settled", func() {
		evacuate()
		t.Restore(t.Copy())
		Eventually(func() bool { return v.Era() == t.Era() }).WithTimeout(waitTimeout).Should(BeTrue())
		t.Remove("evacuate/d")
		Eventually(evacuated).WithTimeout(waitTimeout).Should(BeFalse())
		Expect(v.Settled()).To(BeFalse())
	})
})
