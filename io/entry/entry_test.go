package entry_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/quota"
	"pomelofork/core/stmt"
	"pomelofork/emul/seed"
	"pomelofork/io/clock"
	"pomelofork/io/entry"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry", seed.Suite())
}

var _ = Describe("Entry", func() {
	var f *fakeFleet
	var v *fakeView
	var e *entry.Entry
	var conns chan net.Conn
	BeforeEach(func() {
		route := plan.Route{Service: "s", Timeout: time.Second, TargetLatency: 200 * time.Millisecond, MaxAge: time.Second, Priority: 1}
		latest, bounded, session, open := route, route, route, route
		latest.Name, bounded.Name, session.Name, open.Name = "latest", "bounded", "session", "open"
		bounded.Freshness, session.Freshness, open.Public = plan.FreshBounded, plan.FreshSession, true
		servers := []plan.Server{{ID: "p", Service: "s", Primary: true, Slots: 2}, {ID: "r", Service: "s", Slots: 2}}
		started := newUnobservedFixture(servers, func(c *entry.Config, p *plan.Config) {
			c.KeyLife, c.Evacuation.Bound = time.Second, time.Hour
			p.MaxIdle, p.Routes = 200*time.Millisecond, map[string]plan.Route{"latest": latest, "bounded": bounded, "session": session, "open": open}
		})
		f, v, e, conns = started.fleet, started.view, started.entry, started.conns
		v.mu.Lock()
		v.fresh = clock.Now()
		v.mu.Unlock()
	})

	// connect opens a session and expects it to be accepted.
	connect := func(database string) *testCaller {
		c := newCaller(database, "key")
		conns <- callerConn{caller: c}
		Expect(c.answer().Code).To(Equal(stmt.CodeDone))
		return c
	}

	for name, c := range map[string]struct {
		database, key string
		want          stmt.Code
	}{
		"an unknown database":      {"none", "key", stmt.CodeNoDatabase},
		"an unknown key":           {"latest", "none", stmt.CodeUnauthorized},
		"no key":                   {"latest", "", stmt.CodeUnauthorized},
		"no key on a public route": {"open", "", stmt.CodeDone},
	} {
		It("checks the opening: "+name, func() {
			caller := newCaller(c.database, c.key)
			conns <- callerConn{caller: caller}
			Expect(caller.answer().Code).To(Equal(c.want))
		})
	}

	It("sends writes, and reads that must see every commit, to the primary", func() {
		c := connect("latest")
		Expect(c.ask("WRITE x 1", stmt.KindWrite).Code).To(Equal(stmt.CodeDone))
		Expect(c.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeDone))
		orders := f.sent()
		Expect(orders[0].Server).To(Equal(model.ServerID("p")))
		Expect(orders[0].Prove).To(BeFalse())
		Expect(orders[1].Server).To(Equal(model.ServerID("p")))
		Expect(orders[1].Prove).To(BeTrue())
	})

	It("lets a read that accepts stale data run on any server, with the oldest point that is recent enough", func() {
		e.Observe("s", clock.Now().Add(-5*time.Second), model.NewPoint(1, 1))
		e.Observe("s", clock.Now().Add(-500*time.Millisecond), model.NewPoint(1, 7))
		c := connect("bounded")
		Expect(c.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeDone))
		order := f.sent()[0]
		Expect(order.Server).To(Equal(model.ServerID("r")))
		Expect(order.After).To(Equal(model.NewPoint(1, 7)))
	})

	It("asks for a point if it knows no recent one, and sends the read to the primary if there is none", func() {
		c := connect("bounded")
		c.ask("READ x", stmt.KindRead)
		Expect(f.sent()[0].Prove).To(BeTrue())
		f.mu.Lock()
		f.newestPoint = model.NewPoint(1, 9)
		f.mu.Unlock()
		c.ask("READ y", stmt.KindRead)
		Expect(f.sent()[1].After).To(Equal(model.NewPoint(1, 9)))
	})

	// After a loss of all instances, all reads went to the primaries until one of them was answered.
	It("lets many reads at once wait for one question if it knows no point, and then use the replicas", func() {
		const readers = 40
		f.newestPoint, f.known = model.NewPoint(1, 9), make(chan struct{})
		answers := make(chan stmt.Answer, readers)
		for range readers {
			c := connect("bounded")
			go func() { answers <- c.ask("READ x", stmt.KindRead) }()
		}
		Consistently(f.sent).WithTimeout(50 * time.Millisecond).Should(BeEmpty())
		close(f.known)
		for range readers {
			Eventually(answers).WithTimeout(waitTimeout).Should(Receive(HaveField("Code", stmt.CodeDone)))
		}
		Expect(f.questions.Load()).To(BeNumerically("<", readers/4))
		for _, order := range f.sent() {
			Expect(order.Prove).To(BeFalse())
			Expect(order.After).To(Equal(model.NewPoint(1, 9)))
		}
	})

	It("lets a session read its own write", func() {
		e.Observe("s", clock.Now(), model.NewPoint(1, 2))
		c := connect("session")
		c.ask("WRITE x 1", stmt.KindWrite)
		c.ask("READ x", stmt.KindRead)
		Expect(f.sent()[1].After).To(Equal(model.NewPoint(1, 5)))
	})

	It("repeats a read on another server if its answer was lost", func() {
		e.Observe("s", clock.Now(), model.NewPoint(1, 2))
		f.run = func(server plan.Server, _ *stmt.Order) stmt.Result {
			if server.ID == "r" {
				return stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, "lost")}
			}
			return done(5)
		}
		c := connect("bounded")
		Expect(c.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeDone))
		Expect(f.sent()).To(HaveLen(2))
	})

	It("repeats a failed read once on another server, and avoids the server that failed from then on", func() {
		e.Observe("s", clock.Now(), model.NewPoint(1, 2))
		f.run = func(server plan.Server, _ *stmt.Order) stmt.Result {
			if server.ID == "r" {
				return stmt.Result{Answer: stmt.Refuse(stmt.CodeFailed, stmt.StateIdle, "no")}
			}
			return done(5)
		}
		c := connect("bounded")
		for range 20 {
			Expect(c.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeDone))
		}
		tried := 0
		for _, order := range f.sent() {
			if order.Server == "r" {
				tried++
			}
		}
		Expect(tried).To(BeNumerically("<", 10))
	})

	It("returns a failure to the caller if a second server fails as well", func() {
		e.Observe("s", clock.Now(), model.NewPoint(1, 2))
		f.run = func(plan.Server, *stmt.Order) stmt.Result {
			return stmt.Result{Answer: stmt.Refuse(stmt.CodeFailed, stmt.StateIdle, "no")}
		}
		c := connect("bounded")
		Expect(c.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeFailed))
		Expect(f.sent()).To(HaveLen(2))
	})

	It("never repeats a write that may have run, and answers that it is in doubt", func() {
		f.run = func(plan.Server, *stmt.Order) stmt.Result {
			return stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, "lost")}
		}
		c := connect("latest")
		Expect(c.ask("WRITE x 1", stmt.KindWrite).Code).To(Equal(stmt.CodeInDoubt))
		Expect(f.sent()).To(HaveLen(1))
	})

	It("promises that a write did not run if no server received it", func() {
		f.run = func(plan.Server, *stmt.Order) stmt.Result { return refuse(stmt.CodeConnectionLost) }
		c := connect("latest")
		answer := c.ask("WRITE x 1", stmt.KindWrite)
		Expect(answer.Code).To(Equal(stmt.CodeBusy))
		Expect(answer.State).To(Equal(stmt.StateIdle))
	})

	It("refuses a statement if its service has no servers", func() {
		v.mu.Lock()
		v.state.Services = nil
		v.mu.Unlock()
		c := connect("latest")
		Expect(c.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeBusy))
		Expect(f.sent()).To(BeEmpty())
	})

	It("refuses operations above the rate, and says when to retry", func() {
		f.grant = quota.Grant{RetryAfter: 70 * time.Millisecond}
		c := connect("latest")
		answer := c.ask("READ x", stmt.KindRead)
		Expect(answer.Code).To(Equal(stmt.CodeBusy))
		Expect(answer.Text).To(ContainSubstring("retry in 71 ms"))
	})

	for name, c := range map[string]struct {
		result  stmt.Result
		begin   bool
		returns bool
	}{
		"no server received the statement":                  {refuse(stmt.CodeBusy), false, true},
		"no server received the first one of a transaction": {refuse(stmt.CodeBusy), true, true},
		"the answer was lost":                               {stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, "lost")}, false, false},
		"the statement failed":                              {stmt.Result{Answer: stmt.Refuse(stmt.CodeFailed, stmt.StateIdle, "failed")}, true, false},
	} {
		It("returns the token of an operation only if it was certainly not sent: "+name, func() {
			caller := connect("latest")
			write := func() stmt.Code { return caller.ask("WRITE x 1", stmt.KindWrite).Code }
			// next returns the outcomes of two writes without a grant, after an operation with one.
			next := func() []stmt.Code {
				f.set(quota.Grant{Tokens: 1}, c.result)
				if c.begin {
					caller.ask("BEGIN", stmt.KindBegin)
				}
				Expect(write()).NotTo(Equal(stmt.CodeDone))
				caller.ask("ROLLBACK", stmt.KindRollback)
				f.set(quota.Grant{}, done(5))
				return []stmt.Code{write(), write()}
			}
			if c.returns {
				// The token may expire before it is spent if the machine is busy.
				Eventually(next).Should(Equal([]stmt.Code{stmt.CodeDone, stmt.CodeBusy}))
			} else {
				Expect(next()).To(Equal([]stmt.Code{stmt.CodeBusy, stmt.CodeBusy}))
			}
		})
	}

	// evacuate sets for how long the failure domains of the two servers have been evacuated. Zero
	// means that they aren't. The bound is an hour, so that a phase outlasts the test.
	evacuate := func(p, r time.Duration) {
		servers := []plan.Server{{ID: "p", Service: "s", Primary: true, Slots: 2}, {ID: "r", Service: "s", Slots: 2}}
		for i, elapsed := range []time.Duration{p, r} {
			if elapsed > 0 {
				servers[i].EvacuatedSince = clock.Now().Add(-elapsed)
			}
		}
		v.mu.Lock()
		defer v.mu.Unlock()
		v.state.Services = map[model.ServiceID][]plan.Server{"s": servers}
		v.state.Servers = map[model.ServerID]plan.Server{"p": servers[0], "r": servers[1]}
	}
	const emptying, closed = 20 * time.Minute, 40 * time.Minute

	for name, c := range map[string]struct {
		p, r  time.Duration
		write bool
		want  model.ServerID
		text  string
	}{
		"a read leaves an evacuated replica":                             {0, emptying, false, "p", ""},
		"a read stays if no other server can run it":                     {closed, emptying, false, "r", ""},
		"no read goes to a closed replica":                               {0, closed, false, "p", ""},
		"a write goes to an evacuated primary":                           {emptying, 0, true, "p", ""},
		"no write goes to a closed primary":                              {closed, 0, true, "", "no server"},
		"a read is refused at once if all are evacuated":                 {closed, closed, false, "", "retry in 1001 ms"},
		"a write is refused at once, with a time, if all are evacuated":  {closed, closed, true, "", "retry in 1001 ms"},
		"a write goes to a primary in a domain while all are evacuating": {emptying, emptying, true, "p", ""},
	} {
		It("places statements by the evacuation of failure domains: "+name, func() {
			e.Observe("s", clock.Now(), model.NewPoint(1, 2))
			evacuate(c.p, c.r)
			caller := connect("bounded")
			answer := caller.ask("READ x", stmt.KindRead)
			if c.write {
				answer = caller.ask("WRITE x 1", stmt.KindWrite)
			}
			if c.want == "" {
				Expect(answer.Code).To(Equal(stmt.CodeBusy))
				Expect(answer.Text).To(ContainSubstring(c.text))
				return
			}
			Expect(answer.Code).To(Equal(stmt.CodeDone))
			orders := f.sent()
			Expect(orders[len(orders)-1].Server).To(Equal(c.want))
		})
	}

	It("sends a share of the reads to an evacuated replica at first", func() {
		e.Observe("s", clock.Now(), model.NewPoint(1, 2))
		caller, stayed := connect("bounded"), 0
		// The replica is preferred from its first answer on.
		caller.ask("READ x", stmt.KindRead)
		evacuate(0, 5*time.Minute)
		for range 32 {
			Expect(caller.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeDone))
		}
		for _, order := range f.sent() {
			if order.Server == "r" {
				stayed++
			}
		}
		// In the second of four steps, half of the reads stay.
		Expect(stayed).To(BeNumerically("~", 16, 2))
	})

	for _, kind := range []stmt.Kind{stmt.KindWrite, stmt.KindCommit} {
		It("rolls back a transaction at a closed server, which the caller learns with its next statement: "+kind.String(), func() {
			caller := connect("latest")
			caller.ask("BEGIN", stmt.KindBegin)
			Expect(caller.ask("WRITE x 1", stmt.KindWrite).Code).To(Equal(stmt.CodeDone))
			evacuate(closed, 0)
			Expect(caller.ask("next", kind).Code).To(Equal(stmt.CodeAborted))
			Eventually(func() int { return len(f.sent()) }).WithTimeout(waitTimeout).Should(Equal(2))
			Expect(f.sent()[1].Statement.Kind).To(Equal(stmt.KindRollback))
		})
	}

	Context("in a transaction", func() {
		It("begins on a server with its first statement and stays there", func() {
			c := connect("latest")
			Expect(c.ask("BEGIN", stmt.KindBegin).State).To(Equal(stmt.StateOpen))
			Expect(f.sent()).To(BeEmpty())
			Expect(c.ask("WRITE x 1", stmt.KindWrite).State).To(Equal(stmt.StateOpen))
			Expect(c.ask("COMMIT", stmt.KindCommit).State).To(Equal(stmt.StateIdle))
			orders := f.sent()
			Expect(orders[0].Begin).To(Equal(stmt.OpBegin))
			Expect(orders[1].Begin).To(Equal(stmt.OpPass))
			Expect(orders[1].Unit).To(Equal(orders[0].Unit))
		})

		It("can only be ended after a failure", func() {
			c := connect("latest")
			c.ask("BEGIN", stmt.KindBegin)
			f.run = func(plan.Server, *stmt.Order) stmt.Result {
				return stmt.Result{Answer: stmt.Refuse(stmt.CodeFailed, stmt.StateFailed, "no")}
			}
			Expect(c.ask("READ x", stmt.KindRead).State).To(Equal(stmt.StateFailed))
			Expect(c.ask("READ y", stmt.KindRead).Code).To(Equal(stmt.CodeMalformed))
			Expect(c.ask("ROLLBACK", stmt.KindRollback).State).To(Equal(stmt.StateIdle))
			Eventually(func() stmt.Kind { return f.sent()[len(f.sent())-1].Statement.Kind }).WithTimeout(waitTimeout).Should(Equal(stmt.KindRollback))
		})

		for name, c := range map[string]struct {
			write  bool
			result stmt.Result
			want   stmt.Code
		}{
			"a lost answer after a write":    {true, stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, "")}, stmt.CodeInDoubt},
			"a lost answer without a write":  {false, stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, "")}, stmt.CodeAborted},
			"a commit that was not sent":     {true, refuse(stmt.CodeAborted), stmt.CodeAborted},
			"a server that became read-only": {true, stmt.Result{Answer: stmt.Refuse(stmt.CodeReadOnly, stmt.StateIdle, "")}, stmt.CodeAborted},
		} {
			It("answers a commit truthfully: "+name, func() {
				caller := connect("latest")
				caller.ask("BEGIN", stmt.KindBegin)
				if c.write {
					caller.ask("WRITE x 1", stmt.KindWrite)
				} else {
					caller.ask("READ x", stmt.KindRead)
				}
				f.mu.Lock()
				f.run = func(plan.Server, *stmt.Order) stmt.Result { return c.result }
				f.mu.Unlock()
				answer := caller.ask("COMMIT", stmt.KindCommit)
				Expect(answer.Code).To(Equal(c.want))
				Expect(answer.State).To(Equal(stmt.StateIdle))
			})
		}

		It("is aborted if it is idle for too long, which the caller learns with its next statement", func() {
			c := connect("latest")
			c.ask("BEGIN", stmt.KindBegin)
			c.ask("WRITE x 1", stmt.KindWrite)
			Eventually(func() int { return len(f.sent()) }).WithTimeout(waitTimeout).Should(Equal(2))
			Expect(f.sent()[1].Statement.Kind).To(Equal(stmt.KindRollback))
			Expect(c.answers).NotTo(Receive())
			Expect(c.ask("COMMIT", stmt.KindCommit).Code).To(Equal(stmt.CodeAborted))
			Expect(f.sent()).To(HaveLen(2))
		})

		It("is rolled back when the caller ends the session", func() {
			c := connect("latest")
			c.ask("BEGIN", stmt.KindBegin)
			c.ask("WRITE x 1", stmt.KindWrite)
			close(c.statements)
			Eventually(func() int { return len(f.sent()) }).WithTimeout(waitTimeout).Should(Equal(2))
		})
	})

	It("answers settings and prepared statements itself, and sends them with the statements that need a server", func() {
		c := connect("latest")
		c.send(stmt.Statement{Kind: stmt.KindSet, Name: "n", Rest: "1"})
		c.send(stmt.Statement{Kind: stmt.KindSet, Name: "n", Rest: "2"})
		c.send(stmt.Statement{Kind: stmt.KindPrepare, Name: "q", Rest: "shape", Writes: true})
		Expect(f.sent()).To(BeEmpty())
		Expect(c.send(stmt.Statement{Kind: stmt.KindExecute, Name: "q", Rest: "x 1"}).Code).To(Equal(stmt.CodeDone))
		order := f.sent()[0]
		Expect(order.Values).To(Equal([]stmt.Value{{Name: "n", Content: "2"}}))
		Expect(order.Prepared).To(Equal(stmt.Prepared{Shape: "shape", Writes: true}))
		c.send(stmt.Statement{Kind: stmt.KindDeallocate, Name: "q"})
		Expect(c.send(stmt.Statement{Kind: stmt.KindExecute, Name: "q", Rest: "x 1"}).Code).To(Equal(stmt.CodeNoStatement))
		Expect(c.send(stmt.Statement{}).Code).To(Equal(stmt.CodeMalformed))
	})

	It("accepts no key if the configuration was not confirmed recently", func() {
		c := connect("latest")
		Expect(e.Ready(clock.Now())).To(BeTrue())
		v.mu.Lock()
		v.fresh = clock.Now().Add(-time.Second)
		v.mu.Unlock()
		Expect(c.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeBusy))
		Expect(e.Ready(clock.Now())).To(BeFalse())
		Expect(f.sent()).To(BeEmpty())
	})

	It("refuses a withdrawn key, also within a transaction", func() {
		c, other := connect("latest"), connect("latest")
		other.ask("BEGIN", stmt.KindBegin)
		v.mu.Lock()
		v.state.Plan = plan.New(plan.Config{Version: 2, Routes: map[string]plan.Route{"latest": {Service: "s"}}})
		v.mu.Unlock()
		Expect(c.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeUnauthorized))
		Expect(other.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeUnauthorized))
		Eventually(c.ended).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("ends idle sessions when it drains, and others after their transaction", func() {
		idle, open := connect("latest"), connect("latest")
		open.ask("BEGIN", stmt.KindBegin)
		e.Drain()
		Expect(e.Ready(clock.Now())).To(BeFalse())
		Eventually(idle.ended).WithTimeout(waitTimeout).Should(BeClosed())
		Expect(open.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeDone))
		Expect(open.ask("COMMIT", stmt.KindCommit).Code).To(Equal(stmt.CodeDone))
		Eventually(open.ended).WithTimeout(waitTimeout).Should(BeClosed())
		Eventually(e.Sessions).WithTimeout(waitTimeout).Should(BeZero())
	})

	It("is not ready and ends idle sessions while this instance is isolated", func() {
		c := connect("latest")
		e.SetIsolated(true)
		Expect(e.Ready(clock.Now())).To(BeFalse())
		Eventually(c.ended).WithTimeout(waitTimeout).Should(BeClosed())
		e.SetIsolated(false)
		Expect(e.Ready(clock.Now())).To(BeTrue())
	})
})
