package promo_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/promo"
)

// Guards against taking a server that is only cut off from the store as ended.
var _ = Describe("Absences", func() {
	type attempt struct {
		ms                 int
		answered, replaced bool
	}
	for name, c := range map[string]struct {
		draining bool
		attempts []attempt
		ms       int
		ended    bool
	}{
		"a draining server that hasn't answered for a while":  {true, []attempt{{ms: 0}, {ms: 1000}}, 2000, true},
		"a draining server that has answered since":           {true, []attempt{{ms: 0}, {ms: 1000, answered: true}}, 2000, false},
		"a server that hasn't answered for as long":           {false, []attempt{{ms: 0}, {ms: 1000}}, 2000, false},
		"a server that hasn't answered for long":              {false, []attempt{{ms: 0}, {ms: 29_000}}, 30_000, true},
		"a server in whose place another process answers":     {false, []attempt{{ms: 0, replaced: true}}, 100, true},
		"a server in whose place another answers later":       {false, []attempt{{ms: 0}, {ms: 1000, replaced: true}}, 1100, true},
		"a server that hasn't been tried since it was absent": {true, nil, 60_000, false},
	} {
		It("counts as ended or not: "+name, func() {
			var a promo.Absences
			absent := []promo.Copy{{Server: "x", Draining: c.draining}}
			for _, t := range c.attempts {
				a.Due(at(t.ms), absent)
				a.Tried(at(t.ms), "x", t.answered, t.replaced)
			}
			Expect(a.Ended(at(c.ms), absent)).To(HaveLen(map[bool]int{true: 1}[c.ended]))
		})
	}

	It("has each server tried once a second, and anew after it had an entry", func() {
		var a promo.Absences
		absent := []promo.Copy{{Server: "x", Draining: true}}
		Expect(a.Due(at(0), absent)).To(HaveLen(1))
		a.Tried(at(0), "x", false, false)
		Expect(a.Due(at(900), absent)).To(BeEmpty())
		Expect(a.Due(at(1000), absent)).To(HaveLen(1))
		Expect(a.Due(at(1500), nil)).To(BeEmpty())
		a.Tried(at(1000), model.ServerID("x"), false, false)
		Expect(a.Due(at(1600), absent)).To(HaveLen(1))
		Expect(a.Ended(at(9000), absent)).To(BeEmpty())
	})
})
