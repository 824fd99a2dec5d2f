package right_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/emul/kvsim"
	"pomelofork/io/store"
)

// transfer writes a right as another instance does that transfers it.
func transfer(t *kvsim.Table, name, recipient string, lease store.LeaseID) {
	_, err := t.Client().Commit(GinkgoT().Context(), store.Txn{Puts: []store.Put{{Key: "own/right/" + name, Value: []byte(`{"instance":"` + recipient + `"}`), Lease: lease}}})
	Expect(err).NotTo(HaveOccurred())
}

// All instances start at once. The first one acquires every right and transfers some to an instance
// that replaces its lease in the same moment.
var _ = Describe("A right that was transferred under a lease which its recipient has replaced", func() {
	It("is written under the present lease, instead of being lost until the former one expires", func() {
		t := kvsim.New()
		t.Set("config", nil)
		other := t.Client()
		former, err := other.Grant(GinkgoT().Context(), waitTimeout)
		Expect(err).NotTo(HaveOccurred())
		a := join(t, "a")
		onlyHolder(a)
		entry, _ := t.Get("own/right/r")
		transfer(t, "r", "a", former.ID)
		Eventually(func() bool {
			e, _ := t.Get("own/right/r")
			return e.Lease == entry.Lease && a.holds()
		}).WithTimeout(waitTimeout).Should(BeTrue())
	})

	It("is lost if another instance is named", func() {
		t := kvsim.New()
		t.Set("config", nil)
		former, err := t.Client().Grant(GinkgoT().Context(), waitTimeout)
		Expect(err).NotTo(HaveOccurred())
		a := join(t, "a")
		onlyHolder(a)
		transfer(t, "r", "b", former.ID)
		Eventually(a.holds).WithTimeout(waitTimeout).Should(BeFalse())
	})
})

// Another writer left an entry without a holder. Nobody could acquire the right, and its holder went on.
var _ = Describe("A right whose entry names nobody", func() {
	for name, value := range map[string]string{"null": "null", "no holder": "{}", "another type": `{"instance":7}`, "no text": "\xff", "empty": ""} {
		It("is lost and acquired again: "+name, func() {
			t := kvsim.New()
			t.Set("config", nil)
			t.Set("own/right/r", []byte(value))
			a := join(t, "a")
			onlyHolder(a)
			odd := t.Set("own/right/r", []byte(value))
			Eventually(func() bool {
				e, _ := t.Get("own/right/r")
				return e.Revision > odd && a.holds()
			}).WithTimeout(waitTimeout).Should(BeTrue())
		})
	}
})
