package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/lease"
	"pomelofork/core/member"
)

var _ = Describe("Tracker", func() {
	// A record with such a member is rejected by every instance, and none could be written after it.
	It("proposes no member without a name", func() {
		self := lease.Member{Instance: "a", Incarnation: 1}
		tracker := member.New(member.Config{Self: self, SuspectAfter: time.Second, ProposerStep: time.Millisecond})
		now := time.Unix(1, 0)
		state := member.RecordState{
			Record: lease.Record{Epoch: 1, Members: []lease.Member{self}}, Settled: true,
			Ended: func(lease.Member) bool { return false },
		}
		tracker.AddJoiner(now, lease.Member{Incarnation: 1})
		change, _ := tracker.Propose(now, state)
		Expect(change.IsEmpty()).To(BeTrue())
		tracker.AddJoiner(now, lease.Member{Instance: "b", Incarnation: 1})
		change, _ = tracker.Propose(now, state)
		Expect(change.Put).To(HaveLen(1))
	})
})
