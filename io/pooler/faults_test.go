package pooler_test

import (
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/emul/group"
	"pomelofork/io/clock"
	"pomelofork/io/pooler"
)

var _ = Describe("A statement whose connection was given up while it ran", func() {
	It("is not reported as never sent when its time is over before the connection has ended", func() {
		conn := newScriptedConn(func(c stmt.Command) (stmt.Answer, bool) {
			if c.Op == stmt.OpPass {
				return stmt.Answer{}, false
			}
			return done(c)
		})
		conn.holdEnd = true
		p := newScriptedPool(conn)
		o := inTransaction(order("w1", "WRITE x one", stmt.KindWrite), 7, stmt.OpBegin)
		o.Timeout = 300 * time.Millisecond
		result := make(chan stmt.Result, 1)
		go func() { result <- p.Run(clock.Now(), o) }()
		Eventually(conn.texts).WithTimeout(waitTimeout).Should(HaveLen(1))
		p.RollBackEntry(1)
		Consistently(result, 2*o.Timeout).ShouldNot(Receive(HaveField("NotSent", true)))
		close(conn.ended)
		Eventually(result).WithTimeout(waitTimeout).Should(Receive(And(HaveField("NotSent", false), HaveField("Answer.Code", stmt.CodeConnectionLost))))
	})
})

var _ = Describe("A connection whose session could not be given the caller's values", func() {
	It("isn't used again, since its values aren't known", func() {
		refusing := newScriptedConn(func(c stmt.Command) (stmt.Answer, bool) {
			if c.Op == stmt.OpSet {
				return stmt.Refuse(stmt.CodeBusy, stmt.StateIdle, "no slot"), true
			}
			return done(c)
		})
		next := newScriptedConn(done)
		p := newScriptedPool(refusing, next)
		o := order("r1", "READ x", stmt.KindRead)
		o.Values = []stmt.Value{{Name: "n", Content: "1"}}
		Expect(p.Run(clock.Now(), o)).To(And(HaveField("NotSent", true), HaveField("Answer.Code", stmt.CodeBusy)))
		Expect(p.Run(clock.Now(), o).Answer.Code).To(Equal(stmt.CodeDone))
		Expect(refusing.texts()).To(BeEmpty())
		Expect(next.texts()).To(HaveLen(1))
	})
})

var _ = Describe("The rollback of a transaction that isn't open", func() {
	It("is done", func() {
		p := newScriptedPool(newScriptedConn(done))
		o := order("-", "ROLLBACK", stmt.KindRollback)
		Expect(p.Run(clock.Now(), o).Answer.Code).To(Equal(stmt.CodeDone))
	})
})

var _ = Describe("A pool whose server has refused another connection", func() {
	It("opens one after the pause although nothing else happens", func() {
		const connections = 12
		f := newFixture(group.Config{Connections: connections})
		for i := range connections {
			o := order(fmt.Sprint("q", i), "READ x", stmt.KindRead)
			o.Account = model.AccountID(fmt.Sprint("account", i))
			f.run(o)
		}
		// The first pool keeps two thirds of the server's connections. The others are idle ones
		// of other accounts when the last statement arrives.
		next := f.newPool("p", connections)
		const accounts = 6
		for i := range accounts {
			o := order(fmt.Sprint("n", i), "READ x", stmt.KindRead)
			o.Account = model.AccountID(fmt.Sprint("account", i))
			o.Target, o.Timeout = waitTimeout, waitTimeout
			result := make(chan stmt.Result, 1)
			go func() { result <- next.Run(clock.Now(), o) }()
			Eventually(result).WithTimeout(waitTimeout/2).Should(Receive(HaveField("Answer.Code", stmt.CodeDone)), "account %d", i)
		}
	})
})

var _ = Describe("The withdrawal of a primary's appointment", func() {
	var p *pooler.Pool
	var conn *scriptedConn
	var withdrawn atomic.Uint64
	answer := make(chan struct{})

	// The server answers a write only when the test closes answer.
	BeforeEach(func() {
		withdrawn.Store(0)
		answer = make(chan struct{})
		release := answer
		conn = newScriptedConn(done)
		conn.answer = func(c stmt.Command) (stmt.Answer, bool) {
			if c.Op == stmt.OpPass {
				go func() {
					<-release
					conn.answers <- stmt.Answer{Point: model.NewPoint(1, 1)}
				}()
				return stmt.Answer{}, false
			}
			return done(c)
		}
		p = newPoolOf(pooler.Config{
			Server: plan.Server{ID: "p", Service: "s", Slots: 2, Primary: true}, Dialer: &scriptedDialer{conns: []*scriptedConn{conn}},
			Allows: func(_ time.Time, epoch uint64) bool { return epoch >= withdrawn.Load() },
		})
	})

	// start runs a write under an epoch and returns when it was sent.
	start := func(epoch uint64) <-chan stmt.Result {
		o := order("w1", "WRITE x one", stmt.KindWrite)
		o.Epoch = epoch
		result := make(chan stmt.Result, 1)
		go func() { result <- p.Run(clock.Now(), o) }()
		Eventually(conn.texts).WithTimeout(waitTimeout).Should(HaveLen(1))
		return result
	}

	It("leaves the outcome of a write open that was sent before", func() {
		result := start(4)
		withdrawn.Store(5)
		p.Withdraw(5)
		Eventually(result).WithTimeout(waitTimeout).Should(Receive(And(HaveField("Answer.Code", stmt.CodeConnectionLost), HaveField("NotSent", false))))
	})

	It("passes on the refusal of a write that was sent before, since its outcome is then known", func() {
		refusal := stmt.Refuse(stmt.CodeReadOnly, stmt.StateIdle, "replica")
		conn.answer = func(stmt.Command) (stmt.Answer, bool) { return stmt.Answer{}, false }
		result := start(4)
		withdrawn.Store(5)
		p.Withdraw(5)
		conn.answers <- refusal
		Eventually(result).WithTimeout(waitTimeout).Should(Receive(HaveField("Answer", refusal)))
		Eventually(conn.ended).WithTimeout(waitTimeout).Should(BeClosed())
		Expect(p.Idle()).To(BeTrue())
	})

	It("withholds the success of a write that arrives after the pool was told", func() {
		result := start(4)
		p.Withdraw(5)
		close(answer)
		Eventually(result).WithTimeout(waitTimeout).Should(Receive(And(HaveField("Answer.Code", stmt.CodeConnectionLost), HaveField("NotSent", false))))
		Eventually(conn.ended).WithTimeout(waitTimeout).Should(BeClosed())
		Expect(p.ConfirmedAt()).To(BeZero())
	})

	It("sends nothing more for a write whose BEGIN is answered after it, and says so", func() {
		conn.holdEnd = true
		conn.answer = func(stmt.Command) (stmt.Answer, bool) { return stmt.Answer{}, false }
		o := inTransaction(order("w1", "WRITE x one", stmt.KindWrite), 7, stmt.OpBegin)
		result := make(chan stmt.Result, 1)
		go func() { result <- p.Run(clock.Now(), o) }()
		Eventually(conn.count).WithTimeout(waitTimeout).Should(Equal(1))
		p.Withdraw(5)
		conn.answers <- stmt.Answer{State: stmt.StateOpen}
		Eventually(conn.answers).WithTimeout(waitTimeout).Should(BeEmpty())
		Consistently(conn.texts, 50*time.Millisecond).Should(BeEmpty())
		close(conn.ended)
		Eventually(result).WithTimeout(waitTimeout).Should(Receive(HaveField("NotSent", true)))
		Expect(p.Idle()).To(BeTrue())
	})

	It("withholds an answer that arrives before the pool was told", func() {
		result := start(4)
		withdrawn.Store(5)
		close(answer)
		Eventually(result).WithTimeout(waitTimeout).Should(Receive(And(HaveField("Answer.Code", stmt.CodeConnectionLost), HaveField("NotSent", false))))
		Expect(p.ConfirmedAt()).To(BeZero())
	})

	It("doesn't concern work of a later appointment", func() {
		result := start(6)
		withdrawn.Store(5)
		p.Withdraw(5)
		close(answer)
		Eventually(result).WithTimeout(waitTimeout).Should(Receive(HaveField("Answer.Code", stmt.CodeDone)))
		Expect(p.ConfirmedAt()).NotTo(BeZero())
	})

	It("refuses a write that comes later, and lets reads pass that need no primary", func() {
		withdrawn.Store(5)
		p.Withdraw(5)
		write := order("w1", "WRITE x one", stmt.KindWrite)
		write.Epoch = 4
		Expect(p.Run(clock.Now(), write)).To(And(HaveField("Answer.Code", stmt.CodeReadOnly), HaveField("NotSent", true)))
		close(answer)
		Expect(p.Run(clock.Now(), order("r1", "READ x", stmt.KindRead)).Answer.Code).To(Equal(stmt.CodeDone))
	})
})

// A replica goes dark while lookups arrive: those in flight get no answer, and the others must not
// wait behind them while other servers are free.
var _ = Describe("A server that stops answering", func() {
	// silent answers nothing that callers send.
	silent := func(c stmt.Command) (stmt.Answer, bool) {
		if c.Op == stmt.OpPass {
			return stmt.Answer{}, false
		}
		return done(c)
	}
	// run runs a statement that may wait very long, and returns its result.
	run := func(p *pooler.Pool, o *stmt.Order) <-chan stmt.Result {
		o.Target, o.Timeout = waitTimeout, waitTimeout
		result := make(chan stmt.Result, 1)
		go func() { result <- p.Run(clock.Now(), o) }()
		return result
	}
	notSent := And(HaveField("NotSent", true), HaveField("Answer.Code", stmt.CodeConnectionLost))

	It("has its queued reads released to other servers, but no writes", func() {
		conns := []*scriptedConn{newScriptedConn(silent), newScriptedConn(silent), newScriptedConn(silent)}
		p := newScriptedPool(conns...)
		// As many statements as the pool sends at once are in flight, each on a connection of its
		// own account, so that all others are queued.
		var inFlight <-chan stmt.Result
		for i, conn := range conns {
			o := order(fmt.Sprint("r", i), "READ x", stmt.KindRead)
			o.Account = model.AccountID(fmt.Sprint("account", i))
			inFlight = run(p, o)
			Eventually(conn.texts).WithTimeout(waitTimeout).Should(HaveLen(1))
		}
		queued := run(p, order("q", "READ x", stmt.KindRead))
		write := run(p, order("w", "WRITE x 1", stmt.KindWrite))
		Eventually(func() <-chan stmt.Result {
			p.Tick(clock.Now(), true)
			return queued
		}).WithTimeout(waitTimeout / 2).Should(Receive(notSent))
		Expect(write).NotTo(Receive(), "only this server may run it")
		Expect(p.Run(clock.Now(), order("n", "READ x", stmt.KindRead))).To(notSent)
		Expect(inFlight).NotTo(Receive(), "it has been sent, so only its own time-out ends it")
	})
})
