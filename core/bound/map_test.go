package bound_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/bound"
	"pomelofork/emul/seed"
)

func TestBound(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bound", seed.Suite())
}

// Guards against maps that grow with each name that a configuration ever had.
var _ = Describe("A bounded map", func() {
	It("drops what nobody uses, and keeps what is in use or was used recently", func() {
		now := time.Unix(1000, 0)
		m := bound.NewMap(bound.Config[int, *int]{Limit: 10, Unused: time.Minute, New: func(key int) *int { return &key }, InUse: func(v *int) bool { return *v == 3 }})
		for i := range 1000 {
			now = now.Add(10 * time.Second)
			m.Get(now, i)
			*m.Get(now, 500)++
			Expect(m.Len()).To(BeNumerically("<=", 16))
		}
		Expect(*m.Get(now, 500)).To(Equal(1500), "its value was never made anew")
		for key, want := range map[int]bool{3: true, 500: true, 999: true, 4: false, 900: false} {
			_, found := m.Find(key)
			Expect(found).To(Equal(want), "key %d", key)
		}
		Expect(m.Dropped()).To(BeNumerically(">", 900))
	})
})
