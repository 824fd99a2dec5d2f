package pooler_test

import (
	"context"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/evac"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/pooler"
)

// heldDialer returns the connections only when hold is closed.
type heldDialer struct {
	scriptedDialer
	hold chan struct{}
}

func (d *heldDialer) Dial(ctx context.Context, server plan.Server, account model.AccountID) (pooler.Conn, error) {
	<-d.hold
	return d.scriptedDialer.Dial(ctx, server, account)
}

var _ = Describe("A pool of a server whose failure domain is evacuated", func() {
	server := plan.Server{ID: "p", Service: "s", Slots: 2, Primary: true}
	newPool := func(conns ...*scriptedConn) *pooler.Pool {
		p := pooler.NewPool(pooler.Config{
			Server: server, Dialer: &scriptedDialer{conns: conns}, Log: slog.New(slog.DiscardHandler), Evacuation: evac.Policy{Bound: time.Hour},
			Observe: func(model.ServiceID, time.Time, model.Point) {},
			Latest:  func(model.ServiceID) (time.Time, model.Point, bool) { return time.Time{}, model.Point{}, false },
		})
		DeferCleanup(p.Close)
		return p
	}
	// evacuate evacuates the domain since some time ago, or returns it if that is zero.
	evacuate := func(p *pooler.Pool, elapsed time.Duration) {
		s := server
		if elapsed > 0 {
			s.EvacuatedSince = clock.Now().Add(-elapsed)
		}
		p.Update(s)
		p.Tick(clock.Now(), true)
	}
	const open, closed = 20 * time.Minute, 40 * time.Minute
	// begin opens a transaction with a write.
	begin := func(p *pooler.Pool, unit uint64) stmt.Result {
		return p.Run(clock.Now(), inTransaction(order("w1", "WRITE x 1", stmt.KindWrite), unit, stmt.OpBegin))
	}
	// answer keeps the transaction open after a write.
	answer := func(c stmt.Command) (stmt.Answer, bool) {
		if c.Text == "WRITE x 1" {
			return stmt.Answer{State: stmt.StateOpen}, true
		}
		return done(c)
	}
	silent := func(stmt.Command) (stmt.Answer, bool) { return stmt.Answer{}, false }

	It("runs statements and transactions until half of the bound, and none after it", func() {
		conn, later := newScriptedConn(answer), newScriptedConn(answer)
		p := newPool(conn, later)
		evacuate(p, open)
		Expect(begin(p, 7).Answer.Code).To(Equal(stmt.CodeDone))
		evacuate(p, closed)
		Eventually(conn.ended).WithTimeout(waitTimeout).Should(BeClosed(), "this rolls the transaction back")
		commit := p.Run(clock.Now(), inTransaction(order("c1", "COMMIT", stmt.KindCommit), 7, stmt.OpPass))
		Expect(commit).To(And(HaveField("Answer.Code", stmt.CodeAborted), HaveField("NotSent", true)))
		read := p.Run(clock.Now(), order("r1", "READ x", stmt.KindRead))
		Expect(read).To(And(HaveField("Answer.Code", stmt.CodeMoved), HaveField("NotSent", true), HaveField("RetryAfter", evac.ReturnAfter)))
		Expect(conn.texts()).To(Equal([]string{"WRITE x 1"}))
		By("running them again after the return")
		evacuate(p, 0)
		Expect(p.Run(clock.Now(), order("r2", "READ x", stmt.KindRead)).Answer.Code).To(Equal(stmt.CodeDone))
		Expect(later.texts()).To(Equal([]string{"READ x"}))
	})

	It("opens a connection for a statement that came after the return, when an opening from before the evacuation ends", func() {
		d := &heldDialer{scriptedDialer: scriptedDialer{conns: []*scriptedConn{newScriptedConn(done), newScriptedConn(done)}}, hold: make(chan struct{})}
		p := pooler.NewPool(pooler.Config{
			Server: server, Dialer: d, Log: slog.New(slog.DiscardHandler), Evacuation: evac.Policy{Bound: time.Hour},
			Observe: func(model.ServiceID, time.Time, model.Point) {},
			Latest:  func(model.ServiceID) (time.Time, model.Point, bool) { return time.Time{}, model.Point{}, false },
		})
		DeferCleanup(p.Close)
		run := func(id string) <-chan stmt.Result {
			result := make(chan stmt.Result, 1)
			go func() { result <- p.Run(clock.Now(), order(id, "READ x", stmt.KindRead)) }()
			return result
		}
		before := run("r1")
		Eventually(p.Idle).WithTimeout(waitTimeout).Should(BeFalse())
		evacuate(p, closed)
		Eventually(before).WithTimeout(waitTimeout).Should(Receive(HaveField("Answer.Code", stmt.CodeMoved)))
		evacuate(p, 0)
		after := run("r2")
		Consistently(after, 50*time.Millisecond).ShouldNot(Receive())
		close(d.hold)
		Eventually(after).WithTimeout(waitTimeout).Should(Receive(HaveField("Answer.Code", stmt.CodeDone)))
		Eventually(p.Idle).WithTimeout(waitTimeout).Should(BeTrue())
	})

	It("delivers the answer to a commit that was sent before, and then closes its connection", func() {
		conn := newScriptedConn(func(c stmt.Command) (stmt.Answer, bool) {
			if c.Text == "COMMIT" {
				return stmt.Answer{}, false
			}
			return answer(c)
		})
		p := newPool(conn)
		Expect(begin(p, 7).Answer.Code).To(Equal(stmt.CodeDone))
		result := make(chan stmt.Result, 1)
		go func() {
			result <- p.Run(clock.Now(), inTransaction(order("c1", "COMMIT", stmt.KindCommit), 7, stmt.OpPass))
		}()
		Eventually(conn.texts).WithTimeout(waitTimeout).Should(HaveLen(2))
		evacuate(p, closed)
		Consistently(conn.ended, 50*time.Millisecond).ShouldNot(BeClosed())
		conn.answers <- stmt.Answer{}
		Eventually(result).WithTimeout(waitTimeout).Should(Receive(HaveField("Answer.Code", stmt.CodeDone)))
		Eventually(conn.ended).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("doesn't send a statement whose transaction was being opened", func() {
		conn := newScriptedConn(silent)
		p := newPool(conn)
		result := make(chan stmt.Result, 1)
		go func() { result <- begin(p, 7) }()
		sent := func() int {
			conn.mu.Lock()
			defer conn.mu.Unlock()
			return len(conn.sent)
		}
		Eventually(sent).WithTimeout(waitTimeout).Should(Equal(1))
		evacuate(p, closed)
		Eventually(result).WithTimeout(waitTimeout).Should(Receive(HaveField("NotSent", true)))
		Expect(conn.texts()).To(BeEmpty())
	})

	It("opens no connection, and refuses what is queued", func() {
		p := newPool(newScriptedConn(silent), newScriptedConn(silent))
		results := make(chan stmt.Result, 8)
		for unit := range uint64(8) {
			go func() { results <- begin(p, unit+1) }()
		}
		Eventually(p.Idle).WithTimeout(waitTimeout).Should(BeFalse())
		evacuate(p, closed)
		for range 8 {
			Eventually(results).WithTimeout(waitTimeout).Should(Receive(HaveField("NotSent", true)))
		}
		Eventually(p.Idle).WithTimeout(waitTimeout).Should(BeTrue())
	})
})
