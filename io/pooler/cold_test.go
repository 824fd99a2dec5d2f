package pooler_test

import (
	"context"
	"log/slog"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/ramp"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/pooler"
)

// countingDialer opens connections that answer every command with success, and records when each
// command and each connection arrived.
type countingDialer struct {
	mu       sync.Mutex
	arrivals []time.Time
}

func (d *countingDialer) arrive() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals = append(d.arrivals, clock.Now())
}

func (d *countingDialer) Dial(context.Context, plan.Server, model.AccountID) (pooler.Conn, error) {
	d.arrive()
	return newScriptedConn(func(c stmt.Command) (stmt.Answer, bool) {
		d.arrive()
		return done(c)
	}), nil
}

// most returns the largest number of arrivals in a second.
func (d *countingDialer) most() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	most, from := 0, 0
	for i, t := range d.arrivals {
		for t.Sub(d.arrivals[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// newColdPool returns a pool for a cold primary.
func newColdPool(dialer pooler.Dialer, claim ramp.Claim, contended bool) *pooler.Pool {
	p := pooler.NewPool(pooler.Config{
		Server: plan.Server{ID: "p", Service: "s", Slots: 4, Primary: true, ColdUntil: clock.Now().Add(time.Minute)}, Dialer: dialer, Claim: claim, Contended: contended, Log: slog.New(slog.DiscardHandler),
		Observe: func(model.ServiceID, time.Time, model.Point) {},
		Latest:  func(model.ServiceID) (time.Time, model.Point, bool) { return time.Time{}, model.Point{}, false },
	})
	DeferCleanup(p.Close)
	return p
}

// gatewayClaim returns the claim of an instance that has long been the gateway.
func gatewayClaim(limit int) ramp.Claim {
	now := clock.Now()
	return ramp.Claim{Limited: true, Max: limit, First: true, Since: now.Add(-time.Minute), Confirmed: now.Add(time.Minute)}
}

var _ = Describe("The pool of a cold server", func() {
	for name, contended := range map[string]bool{"by targets": false, "where callers compete": true} {
		It("sends no more than the limit in any second, and refuses truthfully what can't be served in time: "+name, func() {
			const limit = 12
			d := &countingDialer{}
			p := newColdPool(d, gatewayClaim(limit), contended)
			stop := make(chan struct{})
			defer close(stop)
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
						p.Tick(clock.Now(), true)
					}
				}
			}()
			orders := []func(i int) *stmt.Order{
				func(int) *stmt.Order { return order("w", "WRITE x one", stmt.KindWrite) },
				func(int) *stmt.Order { return order("r", "READ x", stmt.KindRead) },
				func(i int) *stmt.Order {
					return inTransaction(order("t", "WRITE x two", stmt.KindWrite), uint64(i+1), stmt.OpBegin)
				},
				func(int) *stmt.Order {
					o := order("v", "READ x", stmt.KindRead)
					o.Prove, o.Values = true, []stmt.Value{{Name: "a", Content: "b"}}
					return o
				},
			}
			var wg sync.WaitGroup
			codes := make([]stmt.Result, 80)
			for i := range codes {
				wg.Add(1)
				go func() {
					defer wg.Done()
					o := orders[i%len(orders)](i)
					o.Target, o.Timeout = 1500*time.Millisecond, 3*time.Second
					codes[i] = p.Run(clock.Now(), o)
					if o.Unit != 0 && codes[i].Answer.Code == stmt.CodeDone {
						p.Run(clock.Now(), inTransaction(order("c", "COMMIT", stmt.KindCommit), o.Unit, stmt.OpPass))
					}
				}()
			}
			wg.Wait()
			Expect(d.most()).To(BeNumerically("<=", limit))
			served := 0
			for _, result := range codes {
				if result.Answer.Code == stmt.CodeDone {
					served++
					continue
				}
				Expect(result.Answer.Code).To(Equal(stmt.CodeBusy))
				Expect(result.NotSent).To(BeTrue())
			}
			Expect(served).To(BeNumerically(">=", limit/4))
		})
	}

	for name, c := range map[string]struct {
		change func(*ramp.Claim)
		kind   stmt.Kind
		sent   bool
	}{
		"a read at an instance that isn't first":  {func(c *ramp.Claim) { c.First = false }, stmt.KindRead, false},
		"a write at an instance that isn't first": {func(c *ramp.Claim) { c.First = false }, stmt.KindWrite, false},
		"a read with an invalid limit":            {func(c *ramp.Claim) { c.Max = 0 }, stmt.KindRead, false},
		"a write with an invalid limit":           {func(c *ramp.Claim) { c.Max = 0 }, stmt.KindWrite, true},
		"a read without a limit":                  {func(c *ramp.Claim) { *c = ramp.Claim{} }, stmt.KindRead, true},
	} {
		It("serves only what it may: "+name, func() {
			claim := gatewayClaim(50)
			c.change(&claim)
			d := &countingDialer{}
			result := newColdPool(d, claim, false).Run(clock.Now(), order("i", "x", c.kind))
			Expect(result.Answer.Code == stmt.CodeDone).To(Equal(c.sent))
			if !c.sent {
				Expect(result.NotSent).To(BeTrue())
				Expect(result.RetryAfter).To(BeNumerically(">", 0))
				Expect(d.most()).To(BeZero())
			}
		})
	}

	It("sends no statement after a BEGIN during which this instance stopped being the gateway, and says when to return", func() {
		conn := newScriptedConn(func(stmt.Command) (stmt.Answer, bool) { return stmt.Answer{}, false })
		p := newColdPool(&scriptedDialer{conns: []*scriptedConn{conn}}, gatewayClaim(50), false)
		result := make(chan stmt.Result, 1)
		go func() {
			result <- p.Run(clock.Now(), inTransaction(order("w", "WRITE x one", stmt.KindWrite), 7, stmt.OpBegin))
		}()
		Eventually(conn.count).WithTimeout(waitTimeout).Should(Equal(1))
		p.Cold(clock.Now(), ramp.Claim{Limited: true, Max: 50})
		conn.answers <- stmt.Answer{State: stmt.StateOpen}
		Eventually(result).WithTimeout(waitTimeout).Should(Receive(And(
			HaveField("Answer.Code", stmt.CodeBusy), HaveField("NotSent", true), HaveField("RetryAfter", BeNumerically(">", 0)),
		)))
		Expect(conn.texts()).To(BeEmpty())
		Expect(p.Idle()).To(BeTrue())
	})

	It("ends an open transaction when this instance isn't the gateway any more", func() {
		d := &countingDialer{}
		p := newColdPool(d, gatewayClaim(50), false)
		Expect(p.Run(clock.Now(), inTransaction(order("w", "WRITE x one", stmt.KindWrite), 7, stmt.OpBegin)).Answer.Code).To(Equal(stmt.CodeDone))
		sent := d.most()
		p.Cold(clock.Now(), ramp.Claim{Limited: true, Max: 50})
		Expect(p.Run(clock.Now(), inTransaction(order("c", "COMMIT", stmt.KindCommit), 7, stmt.OpPass)).Answer.Code).To(Equal(stmt.CodeAborted))
		Expect(d.most()).To(Equal(sent), "no commit was sent")
	})
})

var _ = Describe("The pool of a server that was lost", func() {
	It("takes it as cold until its entry can show whether it was started anew", func() {
		first, second := newScriptedConn(done), newScriptedConn(done)
		// The view shows for a while that the server wasn't started anew before the first connection.
		claim := gatewayClaim(4)
		p := pooler.NewPool(pooler.Config{
			Server: plan.Server{ID: "p", Service: "s", Slots: 2}, Dialer: &scriptedDialer{conns: []*scriptedConn{first, second}}, Claim: claim, Log: slog.New(slog.DiscardHandler),
			Observe: func(model.ServiceID, time.Time, model.Point) {},
			Latest:  func(model.ServiceID) (time.Time, model.Point, bool) { return time.Time{}, model.Point{}, false },
		})
		DeferCleanup(p.Close)
		read := func() string {
			o := order("r", "READ x", stmt.KindRead)
			o.Target, o.Timeout = 50*time.Millisecond, 100*time.Millisecond
			return p.Run(clock.Now(), o).Answer.Text
		}
		for range 10 {
			Expect(read()).To(BeEmpty(), "it was warm")
		}
		claim.Confirmed = clock.Now()
		p.Cold(clock.Now(), claim)
		Expect(first.Close()).To(Succeed())
		Eventually(read).WithTimeout(waitTimeout).Should(ContainSubstring("just started"))
	})
})
