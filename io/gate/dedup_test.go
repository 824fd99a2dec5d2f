package gate_test

import (
	"context"
	"encoding/base64"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/emul/pgsim"
	"pomelofork/io/wire"
)

// writeUnitWithID returns a unit that may write and has a request id.
func writeUnitWithID(id string) wire.Unit {
	unit := writeUnit()
	unit.RequestID = id
	return unit
}

// insertBatch returns a batch that inserts an id into the ledger by the extended protocol.
func insertBatch(id string) wire.Batch {
	return wire.Batch{Messages: []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: "pf_7", Query: "INSERT INTO ledger (id) VALUES ($1)"},
		&pgproto3.Bind{PreparedStatement: "pf_7", Parameters: [][]byte{[]byte(id)}},
		&pgproto3.Execute{}, &pgproto3.Sync{},
	}}
}

// portalBatch returns a batch that binds two portals to an insertion with a parameter of the
// given type, and executes one of them.
func portalBatch(executed string, oid uint32) wire.Batch {
	return wire.Batch{Messages: []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: "pf_7", Query: "INSERT INTO ledger (id) VALUES ($1)", ParameterOIDs: []uint32{oid}},
		&pgproto3.Bind{PreparedStatement: "pf_7", DestinationPortal: "p", Parameters: [][]byte{[]byte("x")}},
		&pgproto3.Bind{PreparedStatement: "pf_7", DestinationPortal: "q", Parameters: [][]byte{[]byte("x")}},
		&pgproto3.Execute{Portal: executed}, &pgproto3.Sync{},
	}}
}

// ledgerCount returns how many rows of the ledger have an id.
func (cluster *testCluster) ledgerCount(ctx context.Context, id string) string {
	got, _, err := runUnit(ctx, cluster.gateway, readUnit(""), queryBatch("SELECT count FROM ledger WHERE id = '"+id+"'"))
	Expect(err).NotTo(HaveOccurred())
	if len(got.rows) == 0 {
		return "0"
	}
	return got.rows[0][0]
}

var _ = Describe("A request with an id", func() {
	It("is executed once and gets the same answer each time", func(ctx SpecContext) {
		cluster := newTestCluster(smallConfig)
		var first *answerRecorder
		for range 3 {
			got, result, err := runUnit(ctx, cluster.gateway, writeUnitWithID("o'1"), insertBatch("x"))
			Expect(err).NotTo(HaveOccurred())
			Expect(result.TxStatus).To(Equal(byte('I')))
			Expect(got.tags).To(Equal([]string{"INSERT 0 1"}))
			if first == nil {
				first = got
			}
			Expect(got).To(Equal(first))
		}
		Expect(cluster.ledgerCount(ctx, "x")).To(Equal("1"))
	})

	It("is executed once when sent several times concurrently", func(ctx SpecContext) {
		cluster := newTestCluster(smallConfig)
		var work sync.WaitGroup
		failures := make(chan error, 8)
		for range 8 {
			work.Go(func() {
				_, _, err := runUnit(ctx, cluster.gateway, writeUnitWithID("1"), insertBatch("x"))
				failures <- err
			})
		}
		work.Wait()
		for range 8 {
			Expect(<-failures).NotTo(HaveOccurred())
		}
		Expect(cluster.ledgerCount(ctx, "x")).To(Equal("1"))
	})

	It("is rejected if its id was used for another request", func(ctx SpecContext) {
		cluster := newTestCluster(smallConfig)
		_, _, err := runUnit(ctx, cluster.gateway, writeUnitWithID("1"), insertBatch("x"))
		Expect(err).NotTo(HaveOccurred())
		got, _, err := runUnit(ctx, cluster.gateway, writeUnitWithID("1"), insertBatch("y"))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.codes).To(Equal([]string{"22023"}))
		Expect(cluster.ledgerCount(ctx, "y")).To(Equal("0"))
	})

	// Another request that was taken for the first one got its answer and did not run.
	for name, pair := range map[string][2]wire.Batch{
		"texts constructed to have the same xxhash": {
			queryBatch("INSERT INTO ledger (id) VALUES ('order 4711 of 2026-12-06, three boxes of paper, paid in advance, 8c41')"),
			queryBatch("INSERT INTO ledger (id) VALUES ('order c45a1o212026-12-06, three boxes esiw-iIx, paid in advance, 8c41')"),
		},
		"another portal":        {portalBatch("p", 25), portalBatch("q", 25)},
		"other parameter types": {portalBatch("p", 25), portalBatch("p", 1043)},
	} {
		It("is rejected if its id was used for another request: "+name, func(ctx SpecContext) {
			cluster := newTestCluster(smallConfig)
			for _, c := range []struct {
				batch wire.Batch
				codes []string
			}{{pair[0], nil}, {pair[0], nil}, {pair[1], []string{"22023"}}} {
				got, _, err := runUnit(ctx, cluster.gateway, writeUnitWithID("1"), c.batch)
				Expect(err).NotTo(HaveOccurred())
				Expect(got.codes).To(Equal(c.codes))
			}
		})
	}

	It("is known by what a gateway of an older build has recorded", func(ctx SpecContext) {
		cluster := newTestCluster(smallConfig)
		run := func(batch wire.Batch) *answerRecorder {
			got, _, err := runUnit(ctx, cluster.gateway, writeUnitWithID("1"), batch)
			Expect(err).NotTo(HaveOccurred())
			return got
		}
		run(insertBatch("x"))
		row, _, err := runUnit(ctx, cluster.gateway, readUnit(""), queryBatch("SELECT fingerprint, answer FROM request_outcomes WHERE account = 'a' AND request_id = '1'"))
		Expect(err).NotTo(HaveOccurred())
		recordOld := func(answer string) {
			cluster.execDirect(ctx, "g-0", "UPDATE request_outcomes SET answer = '"+answer+"' WHERE account = 'a' AND request_id = '1' AND fingerprint = '"+row.rows[0][0]+"'")
		}
		complete, err := (&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}).Encode(nil)
		Expect(err).NotTo(HaveOccurred())
		recordOld(base64.StdEncoding.EncodeToString(complete))
		Expect(run(insertBatch("x")).tags).To(Equal([]string{"INSERT 0 1"}))
		Expect(run(insertBatch("y")).codes).To(Equal([]string{"22023"}))
		recordOld("-")
		Expect(run(insertBatch("x")).codes).To(Equal([]string{"23505"}))
		Expect(cluster.ledgerCount(ctx, "x")).To(Equal("1"))
	})

	It("may be sent again after its statement failed", func(ctx SpecContext) {
		cluster := newTestCluster(smallConfig)
		got, _, err := runUnit(ctx, cluster.gateway, writeUnitWithID("1"), queryBatch("INSERT INTO nowhere"))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.codes).To(HaveLen(1))
		_, _, err = runUnit(ctx, cluster.gateway, writeUnitWithID("1"), insertBatch("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(cluster.ledgerCount(ctx, "x")).To(Equal("1"))
	})

	It("is executed once as a whole if it is a transaction block", func(ctx SpecContext) {
		cluster := newTestCluster(smallConfig)
		stream, err := cluster.gateway.Open(ctx, writeUnitWithID("1"))
		Expect(err).NotTo(HaveOccurred())
		defer stream.Close()
		for _, text := range []string{"BEGIN", "INSERT INTO ledger (id) VALUES ('x')", "COMMIT"} {
			_, err := stream.Run(ctx, queryBatch(text), &answerRecorder{})
			Expect(err).NotTo(HaveOccurred())
		}
		got, _, err := runUnit(ctx, cluster.gateway, writeUnitWithID("1"), queryBatch("BEGIN"))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.codes).To(Equal([]string{"23505"}))
		Expect(cluster.ledgerCount(ctx, "x")).To(Equal("1"))
	})

	It("is sent again and answered from its record when a failover prevents the first answer", func(ctx SpecContext) {
		cluster := newTestCluster(smallConfig)
		cluster.watcher.freeze(true) // The commit can't be confirmed, although a replica receives it.
		done := make(chan error, 1)
		got := &answerRecorder{}
		stream, err := cluster.gateway.Open(ctx, writeUnitWithID("1"))
		Expect(err).NotTo(HaveOccurred())
		defer stream.Close()
		go func() {
			_, err := stream.Run(ctx, insertBatch("x"), got)
			done <- err
		}()
		Eventually(func() string { return cluster.sim.States()[1].Log }, 5*time.Second).Should(Equal("1/2"))
		cluster.injectFault("g-0", pgsim.Fault{Killed: enabled()})
		cluster.promote(ctx, "g-1", "g-2", 2)
		cluster.watcher.freeze(false)
		Eventually(done, 5*time.Second).Should(Receive(BeNil()))
		Expect(got.tags).To(Equal([]string{"INSERT 0 1"}))
		Expect(cluster.ledgerCount(ctx, "x")).To(Equal("1"))
	})
})

var _ = Describe("A write without an id", func() {
	It("is never sent twice, and its outcome is unknown when the server is killed", func(ctx SpecContext) {
		cluster := newTestCluster(pgsim.Config{Slots: 2, Connections: 8, StatementCost: 100 * time.Millisecond})
		done := make(chan error, 1)
		go func() {
			_, _, err := runUnit(ctx, cluster.gateway, writeUnit(), insertBatch("x"))
			done <- err
		}()
		Eventually(func() int64 { return cluster.sim.States()[0].Statements }, 5*time.Second).Should(BeEquivalentTo(1))
		cluster.injectFault("g-0", pgsim.Fault{Killed: enabled()})
		cluster.promote(ctx, "g-1", "g-2", 2)
		var err error
		Eventually(done, 5*time.Second).Should(Receive(&err))
		Expect(refusalOf(err).Outcome()).To(Equal(model.OutcomeUnknown))
		Expect(cluster.sim.States()[1].LedgerIDs).To(BeZero())
	})

	It("is sent again on a route whose requests are idempotent", func(ctx SpecContext) {
		cluster := newTestCluster(pgsim.Config{Slots: 2, Connections: 8, StatementCost: 100 * time.Millisecond})
		unit := writeUnit()
		unit.Idempotent = true
		done := make(chan error, 1)
		go func() {
			_, _, err := runUnit(ctx, cluster.gateway, unit, insertBatch("x"))
			done <- err
		}()
		Eventually(func() int64 { return cluster.sim.States()[0].Statements }, 5*time.Second).Should(BeEquivalentTo(1))
		cluster.injectFault("g-0", pgsim.Fault{Killed: enabled()})
		cluster.promote(ctx, "g-1", "g-2", 2)
		Eventually(done, 5*time.Second).Should(Receive(BeNil()))
		Expect(cluster.sim.States()[1].LedgerIDs).To(Equal(1))
	})
})
