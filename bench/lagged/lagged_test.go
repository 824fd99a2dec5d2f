package lagged_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/bench/lagged"
	"pomelofork/emul/seed"
)

func TestLagged(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lagged", seed.Suite())
}

// plays returns the sum of three plays.
func plays(c lagged.Config) lagged.Result {
	sum := lagged.Play(c)
	for c.Seed = range uint64(3) {
		if c.Seed > 0 {
			sum.Add(lagged.Play(c))
		}
	}
	GinkgoWriter.Printf("%+v: worth %.0f\n  reads %+v\n  writes %+v\n", c, sum.Worth(), sum.Reads, sum.Writes)
	return sum
}

// The failure guarded against: a rule that keeps the reads of lagging replicas from the primary answers
// less than the rule without it, or doesn't protect the writes.
var _ = Describe("A service whose replicas lag", func() {
	for name, c := range map[string]lagged.Config{
		"at 0.7 times the load":      {Scale: 0.7},
		"at the load":                {Scale: 1},
		"at 1.3 times the load":      {Scale: 1.3},
		"by logs that stop for good": {Scale: 1, LogStops: true},
	} {
		It("answers as much as by constant costs, and all urgent writes in time: "+name, func() {
			before := plays(c)
			c.Contended = true
			after := plays(c)
			Expect(after.Worth()).To(BeNumerically(">=", before.Worth()))
			for p := range 2 {
				Expect(float64(after.Writes[p].InTarget)).To(BeNumerically(">=", 0.99*float64(after.Writes[p].Asked)))
			}
		})
	}
})
