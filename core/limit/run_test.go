package limit_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("Rights and rates of a fleet", func() {
	It("never have two users, never exceed rate and burst, and make progress", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(worldConfig{
				seed:    rapid.Uint64().Draw(t, "seed"),
				skew:    rapid.SampledFrom([]float64{0, maxSkew}).Draw(t, "skew"),
				silence: silence,
				digests: rapid.Bool().Draw(t, "digests"),
			})
			choose := func(lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, "choice") }
			if broken := w.play(choose, rapid.IntRange(0, 12).Draw(t, "steps")); broken != "" {
				t.Fatalf("%s\n%s", broken, strings.Join(w.trace, "\n"))
			}
		})
	})

	for name, c := range map[string]struct {
		scene scene
		m     mutant
	}{
		"evidence that counts from the answer": {pausedScene, mutant{evidenceOnArrival: true}},
		"no second look after the step":        {stalledScene, mutant{noAfterCheck: true}},
		"a successor that hardly waits":        {randomScene, mutant{shortTake: true}},
		"swaps before the epoch is known":      {twoRegionsScene, mutant{unsettledSwap: true}},
		"grants that count from their arrival": {slowScene, mutant{grantOnArrival: true}},
		"a hand-over that fills the bucket":    {rollingScene, mutant{fullBucket: true}},
		"a proposer without a majority":        {smallSideScene, mutant{anySideTakes: true}},
		"digests without ages":                 {farSideScene, mutant{freshDigests: true}},
		"a release without having owned":       {twoMovesScene, mutant{releaseBlindly: true}},
	} {
		It("are broken by "+name, func() {
			broken := breaks(c.scene, c.m, 20)
			Expect(broken).NotTo(BeEmpty())
			GinkgoWriter.Println(broken)
		})
		It("are kept without "+name, func() {
			Expect(breaks(c.scene, mutant{}, 2)).To(BeEmpty())
		})
	}
})
