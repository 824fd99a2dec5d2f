package store_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/emul/kvsim"
	"pomelofork/io/store"
)

var _ = Describe("Metered", func() {
	It("counts calls by their outcome and returns their results", func() {
		t := kvsim.New()
		client := t.Client()
		counts := map[string]int{}
		m := store.Metered{Table: client, Count: func(call, outcome string) { counts[call+" "+outcome]++ }}
		ctx := context.Background()
		granted, err := m.Grant(ctx, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(granted.TTL).To(Equal(time.Second))
		id := granted.ID
		txn := store.Txn{Expected: []store.Condition{{Key: "k"}}, Puts: []store.Put{{Key: "k", Value: []byte("v"), Lease: id}}}
		revision, err := m.Commit(ctx, txn)
		Expect(err).NotTo(HaveOccurred())
		_, err = m.Commit(ctx, txn)
		Expect(err).To(MatchError(store.ErrConflict))
		entries, at, err := m.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(1))
		Expect(at).To(Equal(revision))
		_, _, err = m.Changes(ctx, "", 0, 0)
		Expect(err).To(MatchError(store.ErrCompacted))
		Expect(m.Renew(ctx, id)).To(Succeed())
		Expect(m.End(ctx, id)).To(Succeed())
		Expect(m.Renew(ctx, id)).To(MatchError(store.ErrNotFound))
		client.SetFault(kvsim.FaultLoseAnswer)
		_, err = m.Grant(ctx, time.Second)
		Expect(err).To(HaveOccurred())
		client.SetFault(kvsim.FaultRefuse)
		Expect(m.Renew(ctx, id)).NotTo(Succeed())
		Expect(counts).To(Equal(map[string]int{
			"grant ok": 1, "commit ok": 1, "commit conflict": 1, "list ok": 1, "watch compacted": 1, "renew ok": 1, "end ok": 1,
			"renew not_found": 1, "grant unknown": 1, "renew unavailable": 1,
		}))
		Expect(store.Outcome(fmt.Errorf("other"))).To(Equal("failed"))
	})
})
