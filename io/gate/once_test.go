package gate_test

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/emul/pgsim"
	"pomelofork/io/wire"
)

// named is a write with a request id.
func named(id string) wire.Unit {
	unit := writes()
	unit.RequestID = id
	return unit
}

// insert is the batch of an insertion into the ledger, by the extended protocol.
func insert(id string) wire.Batch {
	return wire.Batch{Messages: []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: "pf_7", Query: "INSERT INTO ledger (id) VALUES ($1)"},
		&pgproto3.Bind{PreparedStatement: "pf_7", Parameters: [][]byte{[]byte(id)}},
		&pgproto3.Execute{}, &pgproto3.Sync{},
	}}
}

// ledger returns how often an id stands in the ledger.
func (b *bench) ledger(ctx context.Context, id string) string {
	got, _, err := do(ctx, b.gate, reads(""), query("SELECT count FROM ledger WHERE id = '"+id+"'"))
	Expect(err).NotTo(HaveOccurred())
	if len(got.rows) == 0 {
		return "0"
	}
	return got.rows[0][0]
}

var _ = Describe("A request with an id", func() {
	It("is done once and answered the same each time", func(ctx SpecContext) {
		b := newBench(small)
		var first *answer
		for range 3 {
			got, result, err := do(ctx, b.gate, named("o'1"), insert("x"))
			Expect(err).NotTo(HaveOccurred())
			Expect(result.TxStatus).To(Equal(byte('I')))
			Expect(got.tags).To(Equal([]string{"INSERT 0 1"}))
			if first == nil {
				first = got
			}
			Expect(got).To(Equal(first))
		}
		Expect(b.ledger(ctx, "x")).To(Equal("1"))
	})

	It("is done once when sent many times at once", func(ctx SpecContext) {
		b := newBench(small)
		var work sync.WaitGroup
		failures := make(chan error, 8)
		for range 8 {
			work.Go(func() {
				_, _, err := do(ctx, b.gate, named("1"), insert("x"))
				failures <- err
			})
		}
		work.Wait()
		for range 8 {
			Expect(<-failures).NotTo(HaveOccurred())
		}
		Expect(b.ledger(ctx, "x")).To(Equal("1"))
	})

	It("isn't taken for another request", func(ctx SpecContext) {
		b := newBench(small)
		_, _, err := do(ctx, b.gate, named("1"), insert("x"))
		Expect(err).NotTo(HaveOccurred())
		got, _, err := do(ctx, b.gate, named("1"), insert("y"))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.codes).To(Equal([]string{"22023"}))
		Expect(b.ledger(ctx, "y")).To(Equal("0"))
	})

	It("may be sent again after an error of its own", func(ctx SpecContext) {
		b := newBench(small)
		got, _, err := do(ctx, b.gate, named("1"), query("INSERT INTO nowhere"))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.codes).To(HaveLen(1))
		_, _, err = do(ctx, b.gate, named("1"), insert("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.ledger(ctx, "x")).To(Equal("1"))
	})

	It("holds for a transaction block as a whole", func(ctx SpecContext) {
		b := newBench(small)
		l, err := b.gate.Open(ctx, named("1"))
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		for _, text := range []string{"BEGIN", "INSERT INTO ledger (id) VALUES ('x')", "COMMIT"} {
			_, err := l.Run(ctx, query(text), &answer{})
			Expect(err).NotTo(HaveOccurred())
		}
		got, _, err := do(ctx, b.gate, named("1"), query("BEGIN"))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.codes).To(Equal([]string{"23505"}))
		Expect(b.ledger(ctx, "x")).To(Equal("1"))
	})

	It("is repeated and found when a failover takes away the first answer", func(ctx SpecContext) {
		b := newBench(small)
		b.eyes.blindfold(true) // The commit can't be proved, although a replica gets it.
		done := make(chan error, 1)
		got := &answer{}
		l, err := b.gate.Open(ctx, named("1"))
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		go func() {
			_, err := l.Run(ctx, insert("x"), got)
			done <- err
		}()
		Eventually(func() string { return b.sim.States()[1].Log }, 5*time.Second).Should(Equal("1/2"))
		b.apply("g-0", pgsim.Fault{Killed: on()})
		b.promote(ctx, "g-1", "g-2", 2)
		b.eyes.blindfold(false)
		Eventually(done, 5*time.Second).Should(Receive(BeNil()))
		Expect(got.tags).To(Equal([]string{"INSERT 0 1"}))
		Expect(b.ledger(ctx, "x")).To(Equal("1"))
	})
})

var _ = Describe("A write without an id", func() {
	It("is never sent twice, and its outcome is unknown when the server dies", func(ctx SpecContext) {
		b := newBench(pgsim.Config{Slots: 2, Connections: 8, StatementCost: 100 * time.Millisecond})
		done := make(chan error, 1)
		go func() {
			_, _, err := do(ctx, b.gate, writes(), insert("x"))
			done <- err
		}()
		Eventually(func() int64 { return b.sim.States()[0].Statements }, 5*time.Second).Should(BeEquivalentTo(1))
		b.apply("g-0", pgsim.Fault{Killed: on()})
		b.promote(ctx, "g-1", "g-2", 2)
		var err error
		Eventually(done, 5*time.Second).Should(Receive(&err))
		Expect(refused(err).Outcome()).To(Equal(model.OutcomeUnknown))
		Expect(b.sim.States()[1].LedgerIDs).To(BeZero())
	})

	It("is sent again on a route of idempotent requests", func(ctx SpecContext) {
		b := newBench(pgsim.Config{Slots: 2, Connections: 8, StatementCost: 100 * time.Millisecond})
		unit := writes()
		unit.Idempotent = true
		done := make(chan error, 1)
		go func() {
			_, _, err := do(ctx, b.gate, unit, insert("x"))
			done <- err
		}()
		Eventually(func() int64 { return b.sim.States()[0].Statements }, 5*time.Second).Should(BeEquivalentTo(1))
		b.apply("g-0", pgsim.Fault{Killed: on()})
		b.promote(ctx, "g-1", "g-2", 2)
		Eventually(done, 5*time.Second).Should(Receive(BeNil()))
		Expect(b.sim.States()[1].LedgerIDs).To(Equal(1))
	})
})
