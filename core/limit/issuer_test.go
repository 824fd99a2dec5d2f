package limit_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/assert"
	"pomelofork/core/limit"
)

var start = time.Unix(1_000_000, 0)

// newIssuer returns an issuer of ten tokens a second and a burst of ten, whose bucket was empty
// at since.
func newIssuer(id uint64, since time.Time) *limit.Issuer {
	return limit.NewIssuer(start, limit.IssuerConfig{
		ID:       id,
		Share:    limit.NewRate(limit.RateConfig{PerSecond: limit.Tokens(10), Burst: limit.Tokens(10)}),
		Since:    since,
		Validity: time.Second,
		Check:    assert.NewChecker(func(_ assert.Invariant, text string) { Fail(text) }),
	})
}

// need returns a request for tokens.
func need(tokens float64, reports ...limit.Report) limit.DrawRequest {
	return limit.DrawRequest{Need: limit.Tokens(tokens), Reports: reports}
}

var _ = Describe("Issuer", func() {
	// An issuer that has existed since then has a full bucket.
	full := start.Add(-time.Hour)

	It("starts empty and fills at its rate up to its burst", func() {
		i := newIssuer(1, start)
		Expect(i.Level(start)).To(BeZero())
		Expect(i.Level(start.Add(500 * time.Millisecond))).To(Equal(limit.Tokens(5)))
		Expect(i.Level(start.Add(time.Hour))).To(Equal(limit.Tokens(10)))
	})

	It("counts outstanding grants against its burst until they have expired", func() {
		i := newIssuer(1, full)
		Expect(i.Draw(start, need(10)).Amount).To(Equal(limit.Tokens(10)))
		Expect(i.Draw(start.Add(time.Second), need(10)).Amount).To(BeZero(), "ten may still be spent")
		// The grant counts as outstanding for its validity of 1 s and a tenth of that, and
		// nothing accrues until then.
		Expect(i.Level(start.Add(1200 * time.Millisecond))).To(Equal(limit.Tokens(1)))
	})

	// A negative sum of outstanding grants raised the burst, and an overflow left no tokens.
	for name, amount := range map[string]limit.MicroTokens{"negative": math.MinInt64, "the largest": math.MaxInt64} {
		It("keeps its burst after a hand-over of an amount that is "+name, func() {
			for _, handover := range []limit.Handover{{Level: amount}, {Outstanding: amount}, {Level: amount, Outstanding: amount}} {
				i := newIssuer(1, full)
				i.Draw(start, need(5))
				i.Resume(start, handover)
				for at := start; at.Before(start.Add(3 * time.Second)); at = at.Add(100 * time.Millisecond) {
					Expect(i.Level(at)).To(BeNumerically(">=", 0))
					Expect(i.Level(at)).To(BeNumerically("<=", limit.Tokens(10)))
				}
				Expect(i.Level(start.Add(3 * time.Second))).To(Equal(limit.Tokens(10)))
			}
		})
	}

	It("accrues again as soon as tokens are reported as spent", func() {
		i := newIssuer(1, full)
		grant := i.Draw(start, need(10)).Grant
		spent := limit.Report{Grant: grant, Spent: limit.Tokens(4)}
		i.Draw(start, need(0, spent))
		i.Draw(start, need(0, spent))
		Expect(i.Outstanding(start)).To(Equal(limit.Tokens(6)), "a repeated report counts once")
		Expect(i.Level(start.Add(time.Second))).To(Equal(limit.Tokens(4)))
	})

	It("takes back a returned remainder once", func() {
		i := newIssuer(1, full)
		grant := i.Draw(start, need(10)).Grant
		returned := limit.Report{Grant: grant, Spent: limit.Tokens(3), Done: true}
		Expect(i.Draw(start, need(0, returned)).Levels[0].Amount).To(Equal(limit.Tokens(7)))
		Expect(i.Draw(start, need(0, returned)).Levels[0].Amount).To(Equal(limit.Tokens(7)))
	})

	It("ignores reports on another issuer's grants", func() {
		i := newIssuer(1, full)
		grant := i.Draw(start, need(10)).Grant
		grant.Mint = 2
		Expect(i.Draw(start, need(0, limit.Report{Grant: grant, Done: true})).Levels[0].Amount).To(BeZero())
	})

	for name, c := range map[string]struct {
		omitOutstanding bool
		want            limit.MicroTokens
	}{
		"counts inherited grants against its burst":                          {false, 0},
		"would exceed its burst if the handover left out outstanding grants": {true, limit.Tokens(10)},
	} {
		It(name, func() {
			former := newIssuer(1, full)
			Expect(former.Draw(start, need(10)).Amount).To(Equal(limit.Tokens(10)))
			handover := former.Release(start)
			if c.omitOutstanding {
				handover.Outstanding = 0
			}
			next := newIssuer(2, start)
			next.Resume(start, handover)
			Expect(next.Level(start.Add(1050 * time.Millisecond))).To(Equal(c.want))
		})
	}

	It("hands over its level and outstanding amount", func() {
		former := newIssuer(1, full)
		former.Draw(start, need(4))
		next := newIssuer(2, start)
		next.Resume(start, former.Release(start))
		Expect(next.Level(start)).To(Equal(limit.Tokens(6)))
		Expect(next.Outstanding(start)).To(Equal(limit.Tokens(4)))
		Expect(former.Level(start)).To(BeZero())
	})

	It("reduces its level with the burst, and says for how long it is empty", func() {
		i := newIssuer(1, full)
		i.SetShare(start, limit.NewRate(limit.RateConfig{PerSecond: limit.Tokens(10), Burst: limit.Tokens(2)}))
		response := i.Draw(start, need(3))
		Expect(response.Amount).To(Equal(limit.Tokens(2)))
		Expect(response.EmptyFor).To(BeNumerically("~", 25*time.Millisecond, time.Millisecond))
	})

	It("adds nothing for a clock that went backwards", func() {
		i := newIssuer(1, start)
		Expect(i.Level(start.Add(-time.Hour))).To(BeZero())
	})
})

var _ = Describe("Rate", func() {
	for name, c := range map[string]struct{ perSecond, burst limit.MicroTokens }{
		"divisible": {limit.Tokens(30), limit.Tokens(9)},
		"odd":       {1_000_001, 7},
		"small":     {1, 2},
		"large":     {limit.Tokens(1e7) + 2, limit.Tokens(1e9) + 1},
		"zero":      {0, 0},
	} {
		It("has shares that add up: "+name, func() {
			whole := limit.NewRate(limit.RateConfig{PerSecond: c.perSecond, Burst: c.burst})
			var perSecond, burst limit.MicroTokens
			for i := range limit.Shares {
				perSecond += whole.Share(i).PerSecond()
				burst += whole.Share(i).Burst()
			}
			Expect(perSecond).To(Equal(c.perSecond))
			Expect(burst).To(Equal(c.burst))
		})
	}

	It("returns the time in which an amount accrues, rounded up", func() {
		r := limit.NewRate(limit.RateConfig{PerSecond: 3})
		wait, ok := r.AccrualTime(1)
		Expect(ok).To(BeTrue())
		Expect(wait).To(Equal(333333334 * time.Nanosecond))
		_, ok = limit.Rate{}.AccrualTime(1)
		Expect(ok).To(BeFalse())
	})
})
