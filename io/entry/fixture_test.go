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

// newFixture starts an entry that knows a point of the service. change adapts its configuration and the plan.
func newFixture(servers []plan.Server, change func(*entry.Config, *plan.Config)) *fixture {
	f := newUnobservedFixture(servers, change)
	f.entry.Observe("s", clock.Now(), model.NewPoint(1, 2))
	return f
}

// newUnobservedFixture does the same for an entry that knows no point.
func newUnobservedFixture(servers []plan.Server, change func(*entry.Config, *plan.Config)) *fixture {
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
