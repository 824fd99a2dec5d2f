package rank_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/rank"
	"pomelofork/emul/seed"
)

func TestRank(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rank", seed.Suite())
}

// members returns n instances of weight 1, spread evenly over failure domains.
func members(n, domains int) []plan.Instance {
	var out []plan.Instance
	for i := range n {
		out = append(out, plan.Instance{ID: model.InstanceID(fmt.Sprint("i", i)), Domain: model.Domain(fmt.Sprint("d", i%domains)), Weight: 1})
	}
	return out
}

var _ = Describe("Order", func() {
	It("does not depend on the order in which the members are given", func() {
		all := members(12, 4)
		rotated := append(append([]plan.Instance{}, all[5:]...), all[:5]...)
		Expect(rank.Order("task", "d2", all)).To(Equal(rank.Order("task", "d2", rotated)))
	})

	It("puts the preferred failure domain first", func() {
		for i, m := range rank.Order("task", "d1", members(12, 4)) {
			Expect(m.Domain == "d1").To(Equal(i < 3))
		}
	})

	It("moves only the tasks of a removed member", func() {
		all := members(10, 1)
		for task := range 200 {
			name := fmt.Sprint(task)
			before := rank.Order(name, "", all)[0]
			after := rank.Order(name, "", all[1:])[0]
			if before.ID != all[0].ID {
				Expect(after.ID).To(Equal(before.ID))
			}
		}
	})

	It("gives a member tasks in proportion to its weight", func() {
		all := members(4, 1)
		all[0].Weight = 3
		first := 0
		const tasks = 3000
		for task := range tasks {
			if rank.Order(fmt.Sprint(task), "", all)[0].ID == all[0].ID {
				first++
			}
		}
		Expect(first).To(BeNumerically("~", tasks/2, tasks/20))
	})
})

var _ = Describe("Position", func() {
	It("is the index of the instance in Order", func() {
		all := members(12, 4)
		for i, m := range rank.Order("task", "d2", all) {
			before, ok := rank.Position("task", "d2", m, all, len(all))
			Expect(ok).To(BeTrue())
			Expect(before).To(Equal(i))
		}
	})

	It("stops at an instance that ranks beyond the limit", func() {
		all := members(12, 4)
		last := rank.Order("task", "", all)[11]
		before, ok := rank.Position("task", "", last, all, 2)
		Expect(ok).To(BeFalse())
		Expect(before).To(Equal(3))
	})
})

// With watchers on links of 10 Mbit/s, a configuration took more than ten seconds to reach 300 instances.
var _ = Describe("Watchers", func() {
	for name, c := range map[string]struct {
		bandwidths []float64
		want       int
	}{
		"of equal links":   {[]float64{10, 10, 10, 10, 10, 10, 10}, 3},
		"of unknown links": {[]float64{0, 0, 0, 0, 0, 0, 0}, 3},
		"of uneven links":  {[]float64{10, 200, 10, 10, 10, 100, 10}, 2},
		// An instance of an older build states no link, and ranks without them.
		"beside unknown":     {[]float64{10, 200, 10, 0, 10, 10, 10}, 3},
		"of one instance":    {[]float64{10}, 1},
		"of no instance":     {nil, 0},
		"of many fast links": {[]float64{200, 200, 200, 200, 10, 10, 10}, 3},
	} {
		It("are those with fast links: "+name, func() {
			all := members(len(c.bandwidths), 1)
			fastest, unknown := 0.0, slices.Contains(c.bandwidths, 0)
			for i, b := range c.bandwidths {
				all[i].Bandwidth, fastest = b, max(fastest, b)
			}
			watchers := rank.Watchers(all, 3)
			Expect(watchers).To(HaveLen(c.want))
			for _, w := range watchers {
				Expect(w.Bandwidth >= fastest/4 || unknown).To(BeTrue())
			}
			if c.want == 3 && (fastest <= 10 || unknown) {
				Expect(watchers).To(Equal(rank.Order("watch", "", all)[:3]))
			}
		})
	}
})
