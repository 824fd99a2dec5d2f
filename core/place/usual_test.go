package place_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/place"
	"pomelofork/core/plan"
)

// Reads of an account went to whichever replica was near their entry, and opened a connection at each.
var _ = Describe("Reads of many accounts that compete for connections", func() {
	servers := func() []place.Candidate {
		return []place.Candidate{{Server: plan.Server{ID: "p", Primary: true, Slots: 2}}, {Server: plan.Server{ID: "r1", Slots: 2}}, {Server: plan.Server{ID: "r2", Slots: 2}}}
	}
	// choose returns the server of a read by an entry in the domain of the candidate with the given index,
	// that finds the given waits.
	choose := func(account int, opening time.Duration, near int, waits ...time.Duration) model.ServerID {
		candidates, now := servers(), time.Unix(1000, 0)
		candidates[near].SameDomain = true
		for i, wait := range waits {
			candidates[i].Wait, candidates[i].WaitAt = wait, now
		}
		place.MarkUsual(model.AccountID(fmt.Sprint("a", account)), opening, candidates)
		i, ok := place.Choose(now, place.Requirement{}, candidates)
		Expect(ok).To(BeTrue())
		return candidates[i].Server.ID
	}
	const scarce = 10 * time.Millisecond

	It("use one replica each, from all entries, and about as many each replica", func() {
		counts := map[model.ServerID]int{}
		for account := range 200 {
			usual := choose(account, scarce, 0)
			for near := range 3 {
				Expect(choose(account, scarce, near)).To(Equal(usual))
			}
			counts[usual]++
		}
		Expect(counts["p"]).To(BeZero())
		Expect(counts["r1"]).To(BeNumerically("~", 100, 25))
	})

	It("go elsewhere if the wait at the usual replica is longer than an opening", func() {
		Expect(choose(1, scarce, 1, 0, 40*time.Millisecond, 0)).NotTo(Equal(choose(1, scarce, 2, 0, 0, 40*time.Millisecond)))
	})

	It("stay in their failure domain if each account can have a connection", func() {
		Expect(place.OpeningCost(20, 22)).To(BeZero())
		Expect(place.OpeningCost(74, 0)).To(BeZero())
		Expect(place.OpeningCost(74, 22)).To(BeNumerically(">", 4*time.Millisecond))
		for account := range 20 {
			Expect(choose(account, 0, 1)).To(Equal(model.ServerID("r1")))
			Expect(choose(account, 0, 2)).To(Equal(model.ServerID("r2")))
		}
	})
})
