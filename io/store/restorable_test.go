package store_test

import (
	"context"
	"errors"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/emul/kvsim"
	"pomelofork/io/store"
)

var _ = Describe("Revision", func() {
	It("is ordered by era first, and is a plain number in era zero", func() {
		Expect(store.Revision(2, 5)).To(BeNumerically(">", store.Revision(1, 900)))
		Expect(store.Revision(0, 77)).To(Equal(uint64(77)))
		Expect(store.Era(store.Revision(3, 12))).To(Equal(uint64(3)))
		Expect(store.Number(store.Revision(3, 12))).To(Equal(uint64(12)))
	})
})

// eraTable is a store whose answers have a settable era.
type eraTable struct {
	store.RawTable
	era uint64
}

func (t *eraTable) List(context.Context, string) ([]store.Entry, uint64, uint64, error) {
	return nil, 1 << 41, t.era, nil
}

func (t *eraTable) Changes(_ context.Context, _ string, after uint64, _ time.Duration) ([]store.Entry, uint64, uint64, error) {
	return []store.Entry{{Key: "k", Revision: 1 << 41}}, after, t.era, nil
}

func (t *eraTable) Commit(context.Context, store.Txn) (uint64, uint64, error) {
	return 1 << 41, t.era, nil
}

func (t *eraTable) Renew(context.Context, store.LeaseID) (uint64, error) { return t.era, nil }

var _ = Describe("A store that is restored from an older copy", func() {
	ctx := context.Background()
	log := slog.New(slog.DiscardHandler)
	var t *kvsim.Table
	var c *kvsim.Client
	// put writes a key on the knowledge of an era, and returns the revision.
	put := func(era, expected uint64, lease store.LeaseID) (uint64, error) {
		return c.Commit(ctx, store.Txn{Era: era, Expected: []store.Condition{{Key: "k", Revision: expected}}, Puts: []store.Put{{Key: "k", Lease: lease}}})
	}
	BeforeEach(func() {
		t = kvsim.New()
		c = t.Client()
	})

	It("gets no condition, lease or watch of the former era", func() {
		older := t.Copy()
		granted, err := c.Grant(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		lease := granted.ID
		other, err := c.Grant(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		revision, err := put(0, 0, lease)
		Expect(err).NotTo(HaveOccurred())
		t.Restore(older)
		By("learning of the restore with any answer")
		again, err := t.Client().Grant(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.ID).To(Equal(lease), "another instance is given the lease number")
		_, _, err = c.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		calls := t.Calls()
		_, err = put(0, 0, 0)
		Expect(err).To(MatchError(store.ErrRestored))
		_, err = put(1, revision, 0)
		Expect(err).To(MatchError(store.ErrRestored))
		_, err = put(1, 0, lease)
		Expect(err).To(MatchError(store.ErrRestored))
		Expect(c.Renew(ctx, lease)).To(MatchError(store.ErrRestored))
		Expect(c.End(ctx, lease)).To(MatchError(store.ErrRestored))
		_, _, err = c.Changes(ctx, "", revision, 0)
		Expect(err).To(MatchError(store.ErrCompacted))
		Expect(t.Calls()).To(Equal(calls), "none of them is sent")
		Expect(t.TTL(again.ID)).To(Equal(time.Minute))
		Expect(c.Renew(ctx, other.ID)).To(MatchError(store.ErrRestored))
	})

	It("leaves the outcome of a change unknown that was under way", func() {
		_, _, err := c.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		t.Restore(t.Copy())
		_, err = put(0, 0, 0)
		var unknown *store.UnknownError
		Expect(errors.As(err, &unknown)).To(BeTrue())
	})

	It("answers nothing about conditions of the former era", func() {
		older := t.Copy()
		revision, err := put(0, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		t.Restore(older)
		_, err = put(0, revision, 0)
		Expect(err).To(MatchError(store.ErrRestored))
		Expect(err).To(MatchError(store.ErrUnavailable))
	})

	It("gives higher revisions than all before", func() {
		older := t.Copy()
		former, err := put(0, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		t.Restore(older)
		_, _, err = c.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		revision, err := put(1, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).To(BeNumerically(">", former))
	})

	It("has late answers of a former era dropped, and takes an answer without an era as one of the known", func() {
		raw := &eraTable{}
		table := store.NewRestorable(raw, log)
		Expect(table.Renew(ctx, 1)).To(Succeed())
		raw.era = 4
		Expect(table.Renew(ctx, 1)).To(MatchError(store.ErrRestored), "the era began during the call")
		Expect(table.Renew(ctx, 1)).To(Succeed())
		raw.era = 3
		Expect(table.Renew(ctx, 1)).To(MatchError(store.ErrRestored))
		raw.era = 0
		Expect(table.Renew(ctx, 1)).To(Succeed())
	})

	It("reports a revision that is too large", func() {
		_, _, err := store.NewRestorable(&eraTable{}, log).List(ctx, "")
		Expect(err).To(MatchError(store.ErrUnavailable))
		_, _, err = store.NewRestorable(&eraTable{}, log).Changes(ctx, "", 1<<41, time.Second)
		Expect(err).To(HaveOccurred())
		_, err = store.NewRestorable(&eraTable{}, log).Commit(ctx, store.Txn{})
		Expect(store.Outcome(err)).To(Equal("unknown"))
	})

	// The bits of such a revision above the number would name another era.
	It("takes a revision of an entry that is too large for that of the answer", func() {
		entries, revision, err := store.NewRestorable(&eraTable{}, log).Changes(ctx, "", 7, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).To(Equal(uint64(7)))
		Expect(entries[0].Revision).To(Equal(uint64(7)))
	})
})
