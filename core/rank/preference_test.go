package rank_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/rank"
)

// A monitor in the domain of its primary is lost together with it.
var _ = Describe("Preference", func() {
	for name, c := range map[string]struct {
		preference  rank.Preference
		first, last model.Domain
	}{
		"puts the avoided failure domain last":             {rank.Preference{Avoid: "d2"}, "", "d2"},
		"puts the preferred one first as well":             {rank.Preference{Domain: "d1", Avoid: "d2"}, "d1", "d2"},
		"avoids a failure domain that it prefers as well":  {rank.Preference{Domain: "d2", Avoid: "d2"}, "", "d2"},
		"ignores the empty failure domain as one to avoid": {rank.Preference{Domain: "d1"}, "d1", ""},
	} {
		It(name, func() {
			all := members(12, 4)
			order := c.preference.Order("task", all)
			Expect(order).To(HaveLen(12))
			for i, m := range order {
				if c.first != "" {
					Expect(m.Domain == c.first).To(Equal(i < 3))
				}
				if c.last != "" {
					Expect(m.Domain == c.last).To(Equal(i >= 9))
				}
				position, ok := c.preference.Position("task", m, all, 12)
				Expect(ok).To(BeTrue())
				Expect(position).To(Equal(i))
			}
		})
	}
})
