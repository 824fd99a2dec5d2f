package right_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/emul/kvsim"
	"pomelofork/io/right"
)

// A service whose name makes a key over the limit of the store kept the fleet from acquiring any right, since
// the free rights are acquired in one transaction.
var _ = Describe("A right whose key the store doesn't accept", func() {
	It("keeps nobody from the other rights", func() {
		t := kvsim.New()
		t.Set("config", nil)
		long := strings.Repeat("x", 300)
		wanted := []right.Spec{{Name: long}, {Name: "r"}, {Name: strings.Repeat("y", 200-len("own/right/"))}, {Name: strings.Repeat("z", 201-len("own/right/"))}}
		m := joinFor(t, "a", wanted)
		Eventually(m.holds).WithTimeout(waitTimeout).Should(BeTrue())
		Eventually(func() bool { _, ok := t.Get("own/right/" + wanted[2].Name); return ok }).WithTimeout(waitTimeout).Should(BeTrue(), "the longest key that is accepted")
		Expect(wanted[0].Name).To(Equal(long), "the wanted rights are shared and not changed")
	})
})
