package limit_test

import (
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("Rights and rates of a fleet", func() {
	It("never have two users, never exceed rate and burst, and make progress", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(rapid.Uint64().Draw(t, "seed"), mutant{})
			choose := func(lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, "choice") }
			if broken := w.play(choose, rapid.IntRange(0, 12).Draw(t, "steps")); broken != "" {
				t.Fatalf("%s\n%s", broken, strings.Join(w.trace, "\n"))
			}
		})
	})

	for name, m := range map[string]mutant{
		"evidence that counts from the answer": {evidenceOnArrival: true},
		"no second look after the step":        {noAfterCheck: true},
		"a successor that hardly waits":        {shortTake: true},
		"swaps before the epoch is known":      {unsettledSwap: true},
		"grants that count from their arrival": {grantOnArrival: true},
		"a hand-over without the open grants":  {lostOutstanding: true},
		"a hand-over that fills the bucket":    {fullBucket: true},
		"a proposer without a majority":        {anySideTakes: true},
		"a release without having owned":       {releaseBlindly: true},
	} {
		It("are broken by "+name, func() {
			Expect(firstBroken(m, 400)).NotTo(BeEmpty())
		})
	}
})

// firstBroken plays random scripts until one breaks an invariant.
func firstBroken(m mutant, seeds uint64) string {
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 2))
		w := newWorld(seed, m)
		if broken := w.play(func(lo, hi int) int { return lo + rng.IntN(hi-lo+1) }, 10); broken != "" {
			return broken
		}
	}
	return ""
}
