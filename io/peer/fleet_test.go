package peer_test

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/limit"
	"pomelofork/core/model"
	"pomelofork/io/peer"
)

var highRate = limit.NewRate(limit.RateConfig{PerSecond: limit.Tokens(1000), Burst: limit.Tokens(300)})

// takeTokens asks for count tokens one after the other. It returns how many were granted,
// and the last error.
func takeTokens(n *fleetNode, count int) (granted int, last error) {
	for range count {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if err := n.Take(ctx, "alpha"); err != nil {
			last = err
		} else {
			granted++
		}
		cancel()
	}
	return granted, last
}

var _ = Describe("Fleet", func() {
	It("grants tokens and provides gateways with seven instances", func() {
		nodes := startNodes(newFakeStore(), 7, highRate)
		Eventually(func() bool { return allRanksHeld(nodes) }, "20s", "20ms").Should(BeTrue())
		Eventually(func() error { return nodes[0].Take(context.Background(), "alpha") }, "20s", "50ms").Should(Succeed())
		for _, n := range nodes {
			Eventually(func() int { granted, _ := takeTokens(n, 10); return granted }, "20s", "100ms").Should(Equal(10))
			Expect(n.Gateways("ledger")).To(HaveLen(2))
			Expect(n.Gateways("ledger")[0].FailureDomain).NotTo(Equal(n.Gateways("ledger")[1].FailureDomain))
		}
	})

	It("refuses an unknown account and an account that exceeds its rate", func() {
		low := limit.NewRate(limit.RateConfig{PerSecond: limit.Tokens(0.01), Burst: limit.Tokens(4)})
		nodes := startNodes(newFakeStore(), 3, low)
		var refusal *model.Refusal
		Expect(errors.As(nodes[0].Take(context.Background(), "nobody"), &refusal)).To(BeTrue())
		Expect(refusal.Reason()).To(Equal(model.ReasonUnknownAccount))
		// Nobody may issue tokens in a new fleet yet, so the refusal must not say that the
		// account exceeded its rate.
		_, err := takeTokens(nodes[1], 6)
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Reason()).To(Equal(model.ReasonNoIssuer))
		Expect(refusal.RetryAfter()).To(BeNumerically(">", 0))
		Eventually(func() model.Reason {
			_, err := takeTokens(nodes[1], 6)
			Expect(errors.As(err, &refusal)).To(BeTrue())
			return refusal.Reason()
		}, "20s", "100ms").Should(Equal(model.ReasonRateExceeded))
		Expect(refusal.RetryAfter()).To(BeNumerically(">", 0))
	})

	It("keeps serving during an outage of the store, and when answers of the store are lost", func() {
		store := newFakeStore()
		store.update(func(s *fakeStore) { s.loseAnswers = true })
		nodes := startNodes(store, 5, highRate)
		Eventually(func() bool { return allRanksHeld(nodes) }, "20s", "20ms").Should(BeTrue())
		store.update(func(s *fakeStore) { s.down = true })
		time.Sleep(2 * shortTiming().Lease.EvidenceValidity)
		Expect(allRanksHeld(nodes)).To(BeTrue())
		granted, _ := takeTokens(nodes[2], 10)
		Expect(granted).To(Equal(10))
	})

	It("replaces an instance that was closed, and one that leaves with a handover", func() {
		nodes := startNodes(newFakeStore(), 5, highRate)
		Eventually(func() bool { return allRanksHeld(nodes) }, "20s", "20ms").Should(BeTrue())
		nodes[4].Close()
		rest := nodes[:4]
		Eventually(func() bool { return allMembers(rest) && allRanksHeld(rest) }, "20s", "20ms").Should(BeTrue())
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		former := ranksOf(rest[3])
		Expect(rest[3].Leave(ctx)).To(Succeed())
		for service, rank := range former {
			Expect(holdersOf(rest[:3], service, rank)).To(Equal(1), "remaining instances that hold the rank %s/%d of the one that left", service, rank)
		}
		Expect(ranksOf(rest[3])).To(BeEmpty())
		// Other ranks may have moved among the remaining instances, because no instance of
		// its failure domain is left.
		Eventually(func() bool { return allMembers(rest[:3]) && allRanksHeld(rest[:3]) }, "20s", "10ms").Should(BeTrue())
	})

	// Reading the whole configuration of a large fleet every second would transfer a megabyte
	// per second.
	It("asks the store for a newer revision, and reads a value only if there is one", func() {
		store := newFakeStore()
		nodes := startNodes(store, 3, highRate)
		Eventually(func() bool { return allRanksHeld(nodes) }, "20s", "20ms").Should(BeTrue())
		var getCalls, newerCalls int
		store.update(func(s *fakeStore) { getCalls, newerCalls = s.getCalls, s.newerCalls })
		Eventually(func() (since int) {
			store.update(func(s *fakeStore) { since = s.newerCalls - newerCalls })
			return since
		}, "20s", "20ms").Should(BeNumerically(">", 30))
		store.update(func(s *fakeStore) { Expect(s.getCalls - getCalls).To(BeNumerically("<", 10)) })
	})

	// The configuration was read only after the record of rights, so withdrawn keys stayed valid.
	for name, record := range map[string]string{
		"nested deeply":            `{"epoch":1,"members":` + strings.Repeat("[", 200_000),
		"with a number too large":  `{"epoch":18446744073709551616,"members":[]}`,
		"that can't be counted up": `{"epoch":18446744073709551615,"members":[{"instance":"i0"}]}`,
		"with a member of no name": `{"epoch":1000,"members":[{"incarnation":-1},{"instance":"i0"}]}`,
		"with an unnamed member":   `{"epoch":1000,"members":[{"instance":""},{"instance":"i0"}]}`,
	} {
		It("keeps its members and follows the configuration beside a record of rights "+name, func() {
			store := newFakeStore()
			store.decodeConfig = func(text string) (uint64, []byte, error) {
				version, err := strconv.ParseUint(text, 10, 64)
				return version, []byte("document"), err
			}
			nodes := startNodes(store, 3, highRate)
			Eventually(func() bool { return allRanksHeld(nodes) }, "20s", "20ms").Should(BeTrue())
			store.update(func(s *fakeStore) {
				s.entries["rights"] = peer.Item{Value: record, Revision: s.revision + 1}
				s.entries["config"] = peer.Item{Value: "7", Revision: s.revision + 2}
				s.revision += 2
			})
			for _, n := range nodes {
				Eventually(n.configVersion, "5s", "20ms").Should(Equal(uint64(7)))
			}
			Expect(allMembers(nodes)).To(BeTrue())
			Expect(allRanksHeld(nodes)).To(BeTrue())
		})
	}

	It("distributes a configuration version to all instances, and confirms it", func() {
		nodes := startNodes(newFakeStore(), 5, highRate)
		before := time.Now()
		nodes[1].setVersion(7)
		for _, n := range nodes {
			Eventually(n.configVersion, "20s", "10ms").Should(BeEquivalentTo(7))
			Eventually(n.ConfigConfirmedAt, "20s", "10ms").Should(BeTemporally(">", before))
			Eventually(n.ConfigVersions, "20s", "10ms").Should(HaveLen(5))
		}
	})
})
