package entry_test

import (
	"log/slog"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/quota"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/entry"
	"pomelofork/io/view"
)

// fixture is an entry with a fake fleet, for a service "s" with the given servers.
type fixture struct {
	fleet *fakeFleet
	view  *fakeView
	entry *entry.Entry
	conns chan net.Conn
}

// newFixture starts an entry. change adapts its configuration and the plan.
func newFixture(servers []plan.Server, change func(*entry.Config, *plan.Config)) *fixture {
	route := plan.Route{Name: "route", Service: "s", Timeout: time.Second, TargetLatency: 200 * time.Millisecond, MaxAge: time.Second, Freshness: plan.FreshBounded}
	contents := plan.Config{
		Version: 1, Routes: map[string]plan.Route{"db": route}, Keys: map[string]model.AccountID{"key": "acc"}, Accounts: map[model.AccountID]plan.Account{"acc": {ID: "acc"}},
	}
	f := &fixture{
		fleet: &fakeFleet{run: func(plan.Server, *stmt.Order) stmt.Result { return done(5) }, grant: quota.Grant{Tokens: 1}, held: true},
		view:  &fakeView{fresh: clock.Now().Add(time.Hour)}, conns: make(chan net.Conn),
	}
	c := entry.Config{
		RunID: 3, View: f.view, Fleet: f.fleet, Meter: discardMeter{}, Log: slog.New(slog.DiscardHandler),
		Codec: func(c net.Conn) entry.Caller { return c.(callerConn).caller },
	}
	change(&c, &contents)
	f.view.state = view.State{Plan: plan.New(contents), Services: map[model.ServiceID][]plan.Server{"s": servers}}
	f.entry = entry.New(c)
	f.entry.Observe("s", clock.Now(), model.NewPoint(1, 2))
	f.entry.Serve(&fakeListener{f.conns})
	DeferCleanup(func() { close(f.conns) })
	return f
}

// connect opens a session.
func (f *fixture) connect() *testCaller {
	c := newCaller("db", "key")
	f.conns <- callerConn{caller: c}
	Expect(c.answer().Code).To(Equal(stmt.CodeDone))
	return c
}

// orders returns the number of orders for each server.
func (f *fixture) orders() map[model.ServerID]int {
	out := map[model.ServerID]int{}
	for _, order := range f.fleet.sent() {
		out[order.Server]++
	}
	return out
}

var _ = Describe("Reads of a service with a cold server", func() {
	coldServers := func(c *entry.Config, _ *plan.Config) { c.ColdServers = true }
	cold := func(id model.ServerID) plan.Server {
		return plan.Server{ID: id, Service: "s", Slots: 2, ColdUntil: clock.Now().Add(time.Minute)}
	}
	// refuseCold makes the gateways of cold servers refuse everything.
	refuseCold := func(f *fixture, after time.Duration) {
		f.fleet.run = func(server plan.Server, _ *stmt.Order) stmt.Result {
			if server.Cold(clock.Now()) {
				return stmt.Result{Answer: stmt.Refuse(stmt.CodeBusy, stmt.StateIdle, "few"), NotSent: true, RetryAfter: after}
			}
			return done(5)
		}
	}

	It("go to the warm one while it is usable", func() {
		f := newFixture([]plan.Server{cold("a"), {ID: "p", Service: "s", Slots: 2, Primary: true}, {ID: "w", Service: "s", Slots: 2}}, coldServers)
		c := f.connect()
		for range 5 {
			Expect(c.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeDone))
		}
		Expect(f.orders()).To(Equal(map[model.ServerID]int{"w": 5}))
	})

	It("pass the cold one over until the time that its gateway told", func() {
		f := newFixture([]plan.Server{cold("a"), {ID: "p", Service: "s", Slots: 2, Primary: true}}, coldServers)
		refuseCold(f, time.Minute)
		// The primary seems to have a long wait.
		f.fleet.run = func(run func(plan.Server, *stmt.Order) stmt.Result) func(plan.Server, *stmt.Order) stmt.Result {
			return func(server plan.Server, order *stmt.Order) stmt.Result {
				result := run(server, order)
				if !server.Cold(clock.Now()) {
					result.Wait = time.Second
				}
				return result
			}
		}(f.fleet.run)
		c := f.connect()
		for range 6 {
			Expect(c.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeDone))
		}
		Expect(f.orders()).To(Equal(map[model.ServerID]int{"a": 1, "p": 6}))
	})

	It("are refused at once, with the time that the gateway told, if all servers are cold and take no more", func() {
		f := newFixture([]plan.Server{cold("a"), cold("b")}, coldServers)
		refuseCold(f, 1700*time.Millisecond)
		c := f.connect()
		for range 2 {
			answer := c.ask("READ x", stmt.KindRead)
			Expect(answer.Code).To(Equal(stmt.CodeBusy))
			Expect(answer.Text).To(MatchRegexp("retry in 1[67][0-9][0-9] ms"))
		}
		Expect(f.orders()).To(Equal(map[model.ServerID]int{"a": 1, "b": 1}))
	})

	It("are placed as if it were warm where nothing limits cold servers", func() {
		f := newFixture([]plan.Server{cold("a"), {ID: "w", Service: "s", Slots: 2}}, func(*entry.Config, *plan.Config) {})
		c := f.connect()
		Expect(c.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeDone))
		Expect(f.orders()).To(Equal(map[model.ServerID]int{"a": 1}))
	})
})
