package pooler_test

import (
	"context"
	"fmt"
	"sync"
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

// slotDialer opens connections that share the slots of one server with the statements on them.
type slotDialer struct {
	mu sync.Mutex
	// used is the number of slots in use, peak the largest number while a connection was being
	// opened, and dials the number of openings.
	used, openings, peak, dials int
	// hold is received from before a statement or an opening ends.
	hold chan struct{}
}

func (d *slotDialer) use(opening int) {
	d.mu.Lock()
	d.used++
	d.openings += opening
	if d.openings > 0 {
		d.peak = max(d.peak, d.used)
	}
	d.dials += opening
	d.mu.Unlock()
	<-d.hold
	d.mu.Lock()
	d.used--
	d.openings -= opening
	d.mu.Unlock()
}

func (d *slotDialer) Dial(context.Context, plan.Server, model.AccountID) (pooler.Conn, error) {
	d.use(1)
	var conn *scriptedConn
	conn = newScriptedConn(func(stmt.Command) (stmt.Answer, bool) {
		go func() {
			d.use(0)
			conn.answers <- stmt.Answer{}
		}()
		return stmt.Answer{}, false
	})
	return conn, nil
}

func (d *slotDialer) inUse() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used
}

func (d *slotDialer) opened() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dials
}

var _ = Describe("Pool where callers compete for the server", func() {
	var dialer *slotDialer
	var p *pooler.Pool
	BeforeEach(func() { dialer = &slotDialer{hold: make(chan struct{})} })
	open := func(disabled ...string) {
		switches, err := trial.Parse(disabled)
		Expect(err).NotTo(HaveOccurred())
		p = newPoolOf(pooler.Config{Server: plan.Server{ID: "p", Service: "s", Slots: 3, Primary: true}, Dialer: dialer, Contended: true, Disabled: switches})
	}
	// send runs statements in the background, each of another account, and returns their results.
	send := func(count int) chan stmt.Result {
		results := make(chan stmt.Result, count)
		for i := range count {
			o := order(fmt.Sprint(i), "READ x", stmt.KindRead)
			o.Account = model.AccountID(fmt.Sprint(i))
			go func() { results <- p.Run(clock.Now(), o) }()
		}
		return results
	}
	release := func(count int) {
		for range count {
			dialer.hold <- struct{}{}
		}
	}

	DescribeTable("never has more at a server than its slots while connections are being opened, so that the server refuses none",
		func(wantPeak int, disabled ...string) {
			open(disabled...)
			results := send(9)
			Eventually(dialer.inUse).WithTimeout(waitTimeout).Should(Equal(wantPeak))
			release(18)
			for range 9 {
				var result stmt.Result
				Eventually(results).WithTimeout(waitTimeout).Should(Receive(&result))
				Expect(result.Answer.Code).To(Equal(stmt.CodeDone))
				Expect(result.Waits).To(HaveLen(1))
				Expect(result.Waits[0].Priority).To(Equal(1))
			}
			Expect(dialer.opened()).To(Equal(9))
			Expect(dialer.peak).To(Equal(wantPeak))
		},
		Entry("with openings counted as work", 3),
		Entry("without", 4, string(trial.OpeningWork)),
	)

	It("opens a connection for an account that has none although statements of others could run", func() {
		open()
		results := make(chan stmt.Result, 1001)
		run := func(account model.AccountID, now time.Time) {
			o := order("w", "WRITE x one", stmt.KindWrite)
			o.Account, o.Target, o.Timeout = account, 40*time.Second, time.Minute
			go func() { results <- p.Run(now, o) }()
		}
		for range 1000 {
			run("a", clock.Now())
		}
		Eventually(dialer.opened).WithTimeout(waitTimeout).Should(Equal(3))
		release(3)
		Eventually(dialer.inUse).WithTimeout(waitTimeout).Should(Equal(3))
		// More than half of the time to its target has passed.
		run("b", clock.Now().Add(-30*time.Second))
		Eventually(func() int {
			if dialer.inUse() == 3 && dialer.opened() == 3 {
				release(1)
			}
			return dialer.opened()
		}).WithTimeout(waitTimeout).Should(Equal(4))
		Expect(len(results)).To(BeNumerically("<", 1000))
		for len(results) < 1001 {
			select {
			case dialer.hold <- struct{}{}:
			case <-time.After(time.Millisecond):
			}
		}
	})

	It("tells the queued statements that they have not run when another instance holds the connections", func() {
		open()
		p.Tick(clock.Now(), true)
		results := send(5)
		Eventually(func() int {
			p.Tick(clock.Now(), true)
			p.Tick(clock.Now(), false)
			return len(results)
		}).WithTimeout(waitTimeout).Should(Equal(5))
		for range 5 {
			result := <-results
			Expect(result.NotSent).To(BeTrue())
			Expect(result.Answer.Code).To(Equal(stmt.CodeMoved))
		}
		release(3)
	})
})
