package view_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/promo"
	"pomelofork/emul/kvsim"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

var _ = Describe("View of a store that is restored from an older copy", func() {
	var t *kvsim.Table
	var v *view.View
	// setInstance and setRight write entries as instances do that know the store's era.
	setInstance := func(id model.InstanceID) {
		value, err := view.InstanceValue(plan.Instance{ID: id, Address: "h:1"}, t.Era())
		Expect(err).NotTo(HaveOccurred())
		t.Set(v.InstanceKey(id), value)
	}
	setRight := func(name string, holder model.InstanceID) {
		value, err := view.RightValue(holder, t.Era())
		Expect(err).NotTo(HaveOccurred())
		t.Set(v.RightKey(name), value)
	}
	setAppointment := func(server model.ServerID) {
		value, err := view.AppointmentValue(server, t.Era())
		Expect(err).NotTo(HaveOccurred())
		t.Set(v.AppointmentKey("s"), value)
	}
	setCopies := func(servers ...model.ServerID) {
		config := promo.CopySetConfig{SyncReplicas: 1}
		for _, id := range servers {
			config.Copies = append(config.Copies, promo.Copy{Server: id, StartedAt: time.UnixMilli(1)})
		}
		value, err := view.CopiesValue(promo.NewCopySet(config), t.Era())
		Expect(err).NotTo(HaveOccurred())
		t.Set(v.CopiesKey("s"), value)
	}
	known := func() bool { return v.Revision() == store.Revision(t.Era(), t.Revision()) }
	inNewEra := func() bool { return v.Era() == t.Era() && !v.Settled() }
	BeforeEach(func() {
		t = kvsim.New()
		t.Set("config", []byte{1})
		v = start(view.StoreSource{Table: t.Client()})
		Eventually(version(v)).WithTimeout(waitTimeout).Should(Equal(uint64(1)))
		setInstance("i")
		setRight("r", "i")
		t.Set("server/a", []byte("ready s"))
		setAppointment("a")
		setCopies("a")
	})

	It("keeps what was known, never what is older", func() {
		older := t.Copy()
		t.Set("config", []byte{2})
		t.Set("server/b", []byte("ready s"))
		setInstance("j")
		setRight("r", "j")
		setRight("q", "j")
		setAppointment("b")
		setCopies("a", "b")
		Eventually(known).WithTimeout(waitTimeout).Should(BeTrue())
		before := v.State()
		t.Restore(older)
		Eventually(inNewEra).WithTimeout(waitTimeout).Should(BeTrue())
		s := v.State()
		Expect(version(v)()).To(Equal(uint64(2)))
		Expect(s.Servers).To(HaveKey(model.ServerID("b")))
		Expect(s.Instances).To(Equal(before.Instances))
		Expect(s.Appointments).To(Equal(before.Appointments))
		Expect(s.Copies["s"].All()).To(HaveLen(2), "a server that the older copy lacks may hold acknowledged commits")
		Expect(s.Rights).To(HaveLen(2))
		for name, right := range s.Rights {
			Expect(right.Instance).To(Equal(model.InstanceID("j")), name)
			Expect(right.Revision).To(Equal(before.Rights[name].Revision))
			Expect(right.Restored).To(BeTrue())
		}
		By("dropping what nobody writes again")
		Eventually(v.Settled).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(v.State().Rights).To(BeEmpty())
		Expect(v.State().Instances).To(BeEmpty())
		entry, _ := t.Get(v.RightKey("r"))
		Expect(v.State().StaleRights).To(Equal(map[string]uint64{"r": store.Revision(1, entry.Revision)}))
		Eventually(func() int { return len(v.State().Servers) }).WithTimeout(waitTimeout).Should(Equal(1))
		Expect(v.State().Appointments["s"].Server).To(Equal(model.ServerID("b")))
	})

	It("settles when all instances have registered again, and confirms nothing before", func() {
		Eventually(known).WithTimeout(waitTimeout).Should(BeTrue())
		t.Restore(t.Copy())
		Eventually(inNewEra).WithTimeout(waitTimeout).Should(BeTrue())
		confirmed, _ := v.CompleteAsOf()
		restored := time.Now()
		setRight("r", "i")
		setInstance("i")
		t.Set("config", []byte{1})
		Consistently(func() bool { at, _ := v.CompleteAsOf(); return v.Settled() || at.Equal(confirmed) }, "900ms").Should(BeTrue())
		Eventually(v.Settled).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(time.Since(restored)).To(BeNumerically(">", 800*time.Millisecond))
		Eventually(func() bool { at, _ := v.CompleteAsOf(); return at.After(confirmed) }).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(v.State().Rights["r"].Restored).To(BeFalse())
	})

	It("doesn't take an appointment that is written again for a new one", func() {
		Eventually(known).WithTimeout(waitTimeout).Should(BeTrue())
		before := v.State().Appointments["s"]
		t.Restore(t.Copy())
		value, err := view.FormerAppointmentValue(before, t.Era())
		Expect(err).NotTo(HaveOccurred())
		t.Set(v.AppointmentKey("s"), value)
		Eventually(known).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(v.State().Appointments["s"]).To(Equal(before))
		By("taking the next one, although its revision number is lower")
		setAppointment("b")
		Eventually(func() model.ServerID { return v.State().Appointments["s"].Server }).WithTimeout(waitTimeout).Should(Equal(model.ServerID("b")))
		Expect(v.State().Appointments["s"].Epoch).To(BeNumerically(">", before.Epoch))
	})

	It("takes no entry into account whose writer didn't know of the restore", func() {
		Eventually(known).WithTimeout(waitTimeout).Should(BeTrue())
		t.Restore(t.Copy())
		Eventually(inNewEra).WithTimeout(waitTimeout).Should(BeTrue())
		value, err := view.RightValue("late", 0)
		Expect(err).NotTo(HaveOccurred())
		t.Set(v.RightKey("r"), value)
		t.Set(v.RightKey("new"), value)
		Eventually(known).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(v.State().Rights["r"].Instance).To(Equal(model.InstanceID("i")))
		Expect(v.State().Rights).NotTo(HaveKey("new"))
		Expect(v.State().StaleRights).To(HaveKey("new"))
	})

	It("doesn't use a server again that has left, or one again that is draining", func() {
		Eventually(known).WithTimeout(waitTimeout).Should(BeTrue())
		t.Set("server/b", []byte("ready s"))
		older := t.Copy()
		t.Set("server/a", []byte("draining s 1"))
		t.Remove("server/b")
		Eventually(known).WithTimeout(waitTimeout).Should(BeTrue())
		t.Restore(older)
		Eventually(inNewEra).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(v.State().Servers["a"].Draining).To(BeTrue())
		Expect(v.State().Servers).NotTo(HaveKey(model.ServerID("b")))
		By("using it when it has written its entry again")
		t.Set("server/b", []byte("ready s 1"))
		Eventually(func() map[model.ServerID]plan.Server { return v.State().Servers }).WithTimeout(waitTimeout).Should(HaveKey(model.ServerID("b")))
	})

	It("makes a starting instance wait, which knows nothing of before", func() {
		older := t.Copy()
		t.Restore(older)
		fresh := start(view.StoreSource{Table: t.Client()})
		Eventually(func() int { return len(fresh.State().Rights) }).WithTimeout(waitTimeout).Should(Equal(1))
		Expect(fresh.Settled()).To(BeFalse())
		_, ok := fresh.FreshAsOf()
		Expect(ok).To(BeFalse())
		Eventually(func() bool { _, ok := fresh.CompleteAsOf(); return ok }).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(fresh.State().Rights).To(BeEmpty())
	})

	It("passes the new era on to a follower", func() {
		follower := start(&peer{view: v})
		Eventually(func() int { return len(follower.State().Rights) }).WithTimeout(waitTimeout).Should(Equal(1))
		t.Restore(t.Copy())
		Eventually(follower.Era).WithTimeout(waitTimeout).Should(Equal(uint64(1)))
		Expect(follower.State().Rights["r"].Instance).To(Equal(model.InstanceID("i")))
	})
})
