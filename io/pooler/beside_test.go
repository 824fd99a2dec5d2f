package pooler_test

import (
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
	"pomelofork/io/pooler"
)

// The failure guarded against: reads that lagging replicas can't run, and that take the slots of a primary's
// writes.
var _ = Describe("Pool of a primary whose callers compete for capacity", func() {
	var conns []*scriptedConn
	var pool *pooler.Pool
	var answers chan string
	var free atomic.Bool
	run := func(account model.AccountID, text string, kind stmt.Kind) {
		o := order(text, text, kind)
		o.Account = account
		o.Timeout = waitTimeout
		p, out := pool, answers
		go func() { out <- text + " " + p.Run(clock.Now(), o).Answer.Code.String() }()
	}
	BeforeEach(func() {
		conns, answers = nil, make(chan string, 8)
		free.Store(false)
		for range 3 {
			conns = append(conns, newScriptedConn(func(c stmt.Command) (stmt.Answer, bool) { return stmt.Answer{}, c.Op != stmt.OpPass || free.Load() }))
		}
		// Otherwise no connection is opened for the third account.
		switches, err := trial.Parse([]string{string(trial.OpeningWork)})
		Expect(err).NotTo(HaveOccurred())
		pool = newPoolOf(pooler.Config{Server: plan.Server{ID: "p", Service: "s", Slots: 2, Primary: true}, Dialer: &scriptedDialer{conns: conns}, Contended: true, Disabled: switches})
		for _, account := range []model.AccountID{"a", "b", "c"} {
			run(account, "WRITE held", stmt.KindWrite)
		}
		held := func() int { return len(conns[0].texts()) + len(conns[1].texts()) + len(conns[2].texts()) }
		Eventually(held).WithTimeout(waitTimeout).Should(Equal(3))
		run("a", "READ x", stmt.KindRead)
		time.Sleep(50 * time.Millisecond)
	})

	It("runs a later write before the read, and then the read", func() {
		run("a", "WRITE y", stmt.KindWrite)
		time.Sleep(50 * time.Millisecond)
		free.Store(true)
		for _, c := range conns {
			c.answers <- stmt.Answer{}
		}
		texts := func() []string {
			return slices.Concat(conns[0].texts()[1:], conns[1].texts()[1:], conns[2].texts()[1:])
		}
		Eventually(texts).WithTimeout(waitTimeout).Should(Equal([]string{"WRITE y", "READ x"}))
	})

	It("refuses the read truthfully when it closes", func() {
		pool.Close()
		Eventually(answers).WithTimeout(waitTimeout).Should(Receive(Equal("READ x moved")))
	})
})
