package home_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/home"
	"pomelofork/core/model"
	"pomelofork/emul/seed"
)

func TestHome(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "home", seed.Suite())
}

type regions = []model.Region

var _ = Describe("A statement", func() {
	m := home.NewMap(map[model.Domain]model.Region{"e1": "east", "e2": "east", "w1": "west", "x": "", "n": home.Nowhere})
	for name, c := range map[string]struct {
		route, account regions
		allowed        []model.Domain
	}{
		"without homes may run everywhere":                           {nil, nil, []model.Domain{"e1", "e2", "w1", "x", "n", "unknown"}},
		"stays in the homes of its route":                            {regions{"east"}, nil, []model.Domain{"e1", "e2"}},
		"stays in the homes of its account":                          {nil, regions{"west"}, []model.Domain{"w1"}},
		"stays in those of both":                                     {regions{"east", "west"}, regions{"west", "north"}, []model.Domain{"w1"}},
		"may run nowhere if they have none in common":                {regions{"east"}, regions{"west"}, nil},
		"may run nowhere in a home to which no domain belongs":       {regions{"north"}, nil, nil},
		"isn't at home in a domain without region by an empty name":  {regions{""}, nil, nil},
		"isn't at home in a domain whose region is called like none": {regions{home.Nowhere}, nil, nil},
	} {
		It(name, func() {
			homes := home.Of(c.route, c.account)
			var allowed []model.Domain
			for _, domain := range []model.Domain{"e1", "e2", "w1", "x", "n", "unknown"} {
				if m.Allows(homes, domain) {
					allowed = append(allowed, domain)
				}
			}
			Expect(allowed).To(Equal(c.allowed))
		})
	}

	It("has homes to which no domain belongs, which can be named", func() {
		Expect(m.Unmatched(regions{"east", "north", ""})).To(Equal(regions{"north", ""}))
		Expect(home.Map{}.Allows(regions{"east"}, "e1")).To(BeFalse(), "without any region nothing is at home")
	})
})
