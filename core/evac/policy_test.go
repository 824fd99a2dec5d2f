package evac_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/evac"
	"pomelofork/core/model"
	"pomelofork/emul/seed"
)

func TestEvac(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "evac", seed.Suite())
}

var since = time.Unix(1_000, 0)

func at(ms int) time.Time { return since.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("Policy", func() {
	policy := evac.Policy{Bound: 5 * time.Second, PromotionsPerSecond: 50}
	for name, c := range map[string]struct {
		policy evac.Policy
		since  time.Time
		ms     int
		phase  evac.Phase
		share  float64
	}{
		"not evacuated":                  {policy, time.Time{}, 9000, evac.PhaseNone, 1},
		"switched off":                   {evac.Policy{}, since, 9000, evac.PhaseNone, 1},
		"a negative bound":               {evac.Policy{Bound: -1}, since, 9000, evac.PhaseNone, 1},
		"at the start":                   {policy, since, 0, evac.PhaseMoving, 0.75},
		"learned later than now":         {policy, since, -100, evac.PhaseMoving, 0.75},
		"second step":                    {policy, since, 313, evac.PhaseMoving, 0.5},
		"last step":                      {policy, since, 1249, evac.PhaseMoving, 0},
		"after a quarter":                {policy, since, 1250, evac.PhaseEmptying, 0},
		"just before half":               {policy, since, 2499, evac.PhaseEmptying, 0},
		"at half":                        {policy, since, 2500, evac.PhaseClosed, 0},
		"at three quarters":              {policy, since, 3750, evac.PhaseSealed, 0},
		"at once":                        {evac.Policy{Bound: 5 * time.Second, AtOnce: true}, since, 0, evac.PhaseEmptying, 0},
		"a bound shorter than its steps": {evac.Policy{Bound: 4}, since, 0, evac.PhaseMoving, 0.75},
	} {
		It("gives the phase and the share of reads: "+name, func() {
			Expect(c.policy.Phase(at(c.ms), c.since)).To(Equal(c.phase))
			Expect(c.policy.Share(at(c.ms), c.since)).To(Equal(c.share))
			Expect(c.policy.Closed(at(c.ms), c.since)).To(Equal(c.phase >= evac.PhaseClosed))
		})
	}

	for name, c := range map[string]struct {
		policy   evac.Policy
		service  model.ServiceID
		services []model.ServiceID
		ms       int
	}{
		"the first of three": {policy, "a", []model.ServiceID{"c", "a", "b"}, 0},
		"the last of three":  {policy, "c", []model.ServiceID{"c", "a", "b"}, 80},
		"an unknown pace":    {evac.Policy{Bound: 5 * time.Second}, "b", []model.ServiceID{"a", "b"}, 625},
		"a pace near zero":   {evac.Policy{Bound: 5 * time.Second, PromotionsPerSecond: 1e-300}, "b", []model.ServiceID{"a", "b"}, 5000},
		"none known":         {evac.Policy{Bound: 5 * time.Second}, "b", nil, 0},
		"without pacing":     {evac.Policy{Bound: 5 * time.Second, Unpaced: true}, "c", []model.ServiceID{"a", "b", "c"}, 0},
	} {
		It("gives the turn of a service by its name: "+name, func() {
			Expect(c.policy.HandOverAt(since, c.service, c.services)).To(Equal(at(c.ms)))
		})
	}

	It("finds all domains closed only if each is, and not if there are none", func() {
		Expect(policy.AllClosed(at(2500), []time.Time{since, since})).To(BeTrue())
		Expect(policy.AllClosed(at(2500), []time.Time{since, at(1)})).To(BeFalse())
		Expect(policy.AllClosed(at(2500), []time.Time{since, {}})).To(BeFalse())
		Expect(policy.AllClosed(at(2500), nil)).To(BeFalse())
	})
})

var _ = Describe("Admits", func() {
	for _, share := range []float64{0, 0.25, 0.5, 0.75, 1} {
		It("admits the share of any run of consecutive statements", func() {
			for first := uint64(0); first < 1000; first += 37 {
				admitted := 0
				for n := first; n < first+32; n++ {
					if evac.Admits(share, n) {
						admitted++
					}
				}
				// Two more or fewer than the share: what an even spread deviates by.
				Expect(float64(admitted)).To(BeNumerically("~", 32*share, 2))
			}
		})
	}
})
