package peer_test

import (
	"math"
	"net/rpc"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/lease"
	"pomelofork/core/limit"
	"pomelofork/core/model"
	"pomelofork/io/peer"
)

// All bytes that aren't UTF-8 become one character in the record of rights.
var _ = Describe("An instance", func() {
	It("doesn't start with a name that the record of rights can't hold", func() {
		for _, self := range []peer.Member{{Instance: "i\xff", FailureDomain: "d"}, {Instance: "i", FailureDomain: "d\xff"}} {
			_, err := peer.NewFleet(peer.Config{
				Self: self, Store: newFakeStore(), Services: func() []model.ServiceID { return nil },
				Limits:        func(model.AccountID) (limit.Rate, bool) { return highRate, true },
				ConfigVersion: func() uint64 { return 0 },
			})
			Expect(err).To(MatchError(ContainSubstring("UTF-8")))
		}
	})
})

// A panic in a call of net/rpc ends the process.
var _ = Describe("An instance that gets messages with values out of range", func() {
	It("goes on, and grants the tokens of its accounts", func() {
		nodes := startNodes(newFakeStore(), 3, highRate)
		Eventually(func() bool { return allRanksHeld(nodes) }, "20s", "20ms").Should(BeTrue())
		Eventually(func() int { granted, _ := takeTokens(nodes[0], 10); return granted }, "20s", "50ms").Should(Equal(10))
		numbers := []int{math.MinInt, -1, lease.AccountShares, math.MaxInt}
		for _, m := range nodes[0].Members() {
			client, err := rpc.Dial("tcp", m.PeerAddress)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(client.Close)
			call := func(method string, request, response any) {
				Expect(client.Call("Peer."+method, request, response)).To(Succeed())
			}
			call("Ping", &peer.Heartbeat{
				Instance: "x", Epoch: math.MaxUint64, Incarnation: math.MaxUint64, Version: math.MaxUint64,
				Joining: &lease.Member{Incarnation: math.MaxUint64}, Digest: &lease.Digest{Epoch: math.MaxUint64, Ages: []byte{1}},
			}, &peer.Heartbeat{})
			call("Record", &peer.RecordRequest{Epoch: math.MaxUint64}, &peer.RecordResponse{})
			call("Config", &peer.ConfigRequest{Version: math.MaxUint64}, &peer.ConfigResponse{})
			for _, n := range numbers {
				amount := limit.MicroTokens(n)
				ask := limit.DrawRequest{Need: min(amount, 0), Reports: []limit.Report{{Grant: limit.GrantID{Seq: 1}, Spent: amount, Done: true}}}
				ask.Levels[0] = limit.Level{Amount: amount, Age: math.MinInt64, Known: true}
				call("Draw", &peer.DrawRequest{Account: "alpha", Share: n, Epoch: math.MaxUint64, Ask: ask}, &peer.DrawResponse{})
				call("Draw", &peer.DrawRequest{Account: "alpha", Epoch: math.MaxUint64, Ask: ask}, &peer.DrawResponse{})
				right := lease.Right{Kind: lease.Kind(n & 3), Name: "ledger", Part: n}
				call("Release", &peer.ReleaseRequest{Right: right, Epoch: math.MaxUint64}, &peer.ReleaseResponse{})
				call("Offer", &peer.OfferRequest{Rights: []lease.Right{right}}, &peer.OfferResponse{})
			}
		}
		Consistently(nodes[0].Members, "800ms", "20ms").ShouldNot(ContainElement(HaveField("Instance", model.InstanceID(""))))
		Eventually(func() int { granted, _ := takeTokens(nodes[1], 10); return granted }, "5s", "50ms").Should(Equal(10))
		Expect(allRanksHeld(nodes)).To(BeTrue())
	})
})
