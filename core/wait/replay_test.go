package wait_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/wait"
)

// In the second phase of the replay account 0 sends six times its usual load, in the third all
// send 3.5 times the usual lookups.
const (
	noisyFrom, surgeFrom     = 5 * time.Second, 15 * time.Second
	noisyFactor, surgeFactor = 6, 3.5
)

// replayed is all reads of a service on one server.
var replayed = load{
	slots: 6, length: 25 * time.Second, end: 35 * time.Second,
	// The usual parts of 5 large and 66 small accounts.
	weights: append([]float64{0.2, 0.1, 0.08, 0.06, 0.06}, slices.Repeat([]float64{0.5 / 66}, 66)...),
	factor: func(class, account int, now time.Duration) float64 {
		switch {
		case account == 0 && now >= noisyFrom && now < surgeFrom:
			return noisyFactor
		case class == 0 && now >= surgeFrom:
			return surgeFactor
		}
		return 1
	},
	classes: []class{
		{180, 11 * time.Millisecond, 200 * time.Millisecond, time.Second, 2 * time.Second, 0, 3.5, 0.71},
		{45, 33 * time.Millisecond, 400 * time.Millisecond, time.Second, 2 * time.Second, 1, 1.9, 0.47},
		{25, 55 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 8 * time.Second, 2, 0.47, 0.35},
	},
}

// contest returns the time in which accounts compete that the call belongs to: 0 while account 0
// sends more than usual, for the priorities that the slots can serve then, 1 for the lookups of the
// surge, or false for neither.
func (c *call) contest() (int, bool) {
	if c.at >= surgeFrom {
		return 1, c.class == 0
	}
	return 0, c.at >= noisyFrom && c.class <= 1
}

// shares returns the part of its share in a contest that the worst-served account got, and the mean
// over accounts, but for account 0. The share is the max-min fair one by weight, and at most what
// the account asked.
func (o *outcome) shares(contest int) (worst, mean float64) {
	// asked and got are the slot seconds by account: of all calls, and of those that were answered.
	asked, got := make([]float64, len(o.weights)), make([]float64, len(o.weights))
	for _, c := range o.calls {
		if in, ok := c.contest(); ok && in == contest {
			asked[c.account] += c.cost.Seconds()
			if o.worth(c) > 0 {
				got[c.account] += c.cost.Seconds()
			}
		}
	}
	low, high := 0.0, 1e6
	for range 60 {
		level, sum := (low+high)/2, 0.0
		for account, weight := range o.weights {
			sum += min(asked[account], level*weight)
		}
		if sum > float64(o.slots*10) {
			high = level
		} else {
			low = level
		}
	}
	worst = 1
	for account, weight := range o.weights[1:] {
		part := got[account+1] / min(asked[account+1], low*weight)
		worst, mean = min(worst, part), mean+part/float64(len(o.weights)-1)
	}
	return worst, mean
}

var _ = Describe("Queue under the observed load of callers that compete for a server", func() {
	for seed := range uint64(3) {
		// The constants were chosen with other seeds.
		seed += 11
		It(fmt.Sprintf("earns more than without its mechanisms, and gives accounts their shares, seed %d", seed), func() {
			outcomes, earned, byClass := map[string]*outcome{}, map[string]float64{}, []float64(nil)
			for name, policy := range map[string]wait.Policy{
				"contended": {Contended: true}, "by_target": {}, "no_shares": {Contended: true, EqualAccounts: true},
				"no_line": {Contended: true, EqualReturn: true}, "arrival_order": {ArrivalOrder: true, AcceptAll: true},
			} {
				o := replayed.serve(seed, policy, name != "arrival_order")
				outcomes[name] = o
				earned[name], byClass = o.earned()
				noisyWorst, noisyMean := o.shares(0)
				surgeWorst, surgeMean := o.shares(1)
				AddReportEntry(name, fmt.Sprintf("earned %.3f, by class %.3f, part of the share beside account 0: worst %.2f mean %.2f, in the surge: worst %.2f mean %.2f, refused %d",
					earned[name], byClass, noisyWorst, noisyMean, surgeWorst, surgeMean, o.refused), ReportEntryVisibilityFailureOrVerbose)
			}
			o := outcomes["contended"]
			Expect(earned["contended"]).To(BeNumerically(">", earned["by_target"]+0.01))
			Expect(earned["contended"]).To(BeNumerically(">", 3*earned["arrival_order"]))
			Expect(o.refused).To(BeNumerically("<", outcomes["no_line"].refused*3/4))
			Expect(o.droppedPart/float64(o.dropped)).To(BeNumerically("<", 0.4), "what can't be served leaves long before its timeout")
			worst, mean := o.shares(0)
			Expect(worst).To(BeNumerically(">=", 0.9), "accounts at their usual load beside one at six times its own")
			Expect(mean).To(BeNumerically(">=", 0.98))
			_, mean = outcomes["no_shares"].shares(0)
			Expect(mean).To(BeNumerically("<", 0.9), "the replay must be one in which shares count")
			// An account with some 50 lookups in the surge may ask more than its share for a moment.
			worst, mean = o.shares(1)
			Expect(worst).To(BeNumerically(">=", 0.6))
			Expect(mean).To(BeNumerically(">=", 0.95))
		})
	}
})
