package gate_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/emul/pgsim"
)

// stale is how long a spec waits for an answer that must not come.
const stale = 100 * time.Millisecond

// split cuts the primary off from the others, which promote one of them, while the
// picture stays that of before.
func split(ctx context.Context, b *bench) {
	others := []model.ServerID{"g-1", "g-2"}
	b.apply("g-0", pgsim.Fault{CutFrom: &others})
	b.eyes.blindfold(true)
	b.promote(ctx, "g-1", "g-2", 2)
}

// begin runs a batch in the background.
func begin(ctx context.Context, b *bench, access model.Access, text string) (<-chan error, *answer) {
	done, got := make(chan error, 1), &answer{}
	unit := reads("")
	unit.Access = access
	l, err := b.gate.Open(ctx, unit)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		_, err := l.Run(ctx, query(text), got)
		done <- err
	}()
	return done, got
}

var _ = Describe("Guards of the gateway", func() {
	const (
		insertion = "INSERT INTO ledger (id) VALUES ('x')"
		selection = "SELECT id FROM ledger"
	)

	It("keeps back what a replaced primary answers", func(ctx SpecContext) {
		b := newBench(small)
		split(ctx, b)
		written, _ := begin(ctx, b, model.AccessWrite, insertion)
		read, _ := begin(ctx, b, model.AccessRead, selection)
		Consistently(written, stale).ShouldNot(Receive())
		Expect(read).NotTo(Receive())
		b.eyes.blindfold(false)
		var err error
		Eventually(written, 5*time.Second).Should(Receive(&err))
		Expect(refused(err).Outcome()).To(Equal(model.OutcomeUnknown))
		Eventually(read, 5*time.Second).Should(Receive(BeNil()))
	})

	It("would lose an acknowledged write without the wait for a majority", func(ctx SpecContext) {
		b := newBench(small)
		b.eyes.trust(true)
		split(ctx, b)
		written, got := begin(ctx, b, model.AccessWrite, insertion)
		Eventually(written, 5*time.Second).Should(Receive(BeNil()))
		Expect(got.tags).To(Equal([]string{"INSERT 0 1"}))
		Expect(b.sim.States()[1].LedgerIDs).To(BeZero(), "the new primary lacks the acknowledged write")
	})

	It("would read stale data without the word of a majority", func(ctx SpecContext) {
		b := newBench(small)
		split(ctx, b)
		b.direct(ctx, "g-1", insertion)
		b.eyes.trust(true)
		read, got := begin(ctx, b, model.AccessRead, selection)
		Eventually(read, 5*time.Second).Should(Receive(BeNil()))
		Expect(got.rows).To(BeEmpty(), "the replaced primary answered")
	})
})
