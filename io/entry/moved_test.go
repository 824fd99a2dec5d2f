package entry_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/entry"
)

// movedFixture is an entry with the services "s" and "t", to which configurations lead its only route in turn. Each
// commit gets the next position in the log of its service.
type movedFixture struct {
	*fixture
	positions map[model.ServiceID]model.Position
	caller    *testCaller
}

func newMovedFixture(maxSettings int64) *movedFixture {
	f := &movedFixture{positions: map[model.ServiceID]model.Position{"s": 10, "t": 500}}
	f.fixture = newFixture(nil, func(c *entry.Config, _ *plan.Config) { c.MaxSettingsBytes = maxSettings })
	f.view.state.Services = map[model.ServiceID][]plan.Server{}
	for service := range f.positions {
		f.view.state.Services[service] = []plan.Server{{ID: model.ServerID(service + "-p"), Service: service, Primary: true}, {ID: model.ServerID(service + "-r"), Service: service}}
		f.entry.Observe(service, clock.Now(), model.NewPoint(1, 1))
	}
	f.fleet.run = func(server plan.Server, order *stmt.Order) stmt.Result {
		if order.Writes() {
			f.positions[server.Service]++
		}
		return done(f.positions[server.Service])
	}
	f.setRoute("s", plan.FreshSession)
	f.caller = f.connect()
	Expect(f.caller.send(stmt.Statement{Kind: stmt.KindPrepare, Name: "w", Rest: "q", Writes: true}).Code).To(Equal(stmt.CodeDone))
	return f
}

// setRoute has the route lead to a service from the next transaction on. Without a service there is no route.
func (f *movedFixture) setRoute(service model.ServiceID, freshness plan.Freshness) {
	routes := map[string]plan.Route{"db": {Name: "route", Service: service, Timeout: time.Second, TargetLatency: 200 * time.Millisecond, MaxAge: time.Hour, Freshness: freshness}}
	if service == "" {
		routes = nil
	}
	f.view.mu.Lock()
	defer f.view.mu.Unlock()
	f.view.state.Plan = plan.New(plan.Config{
		Version: 1, Routes: routes, Keys: map[string]model.AccountID{"key": "acc"}, Accounts: map[model.AccountID]plan.Account{"acc": {ID: "acc"}},
	})
}

// do runs one statement or transaction and returns the order of its first statement.
func (f *movedFixture) do(operation string) stmt.Order {
	first := len(f.fleet.sent())
	for text := range strings.SplitSeq(operation, "; ") {
		kind := map[string]stmt.Kind{"READ": stmt.KindRead, "WRITE": stmt.KindWrite, "BEGIN": stmt.KindBegin, "COMMIT": stmt.KindCommit, "EXECUTE": stmt.KindExecute}[strings.Fields(text)[0]]
		if text == "BEGIN READ" {
			kind = stmt.KindBeginRead
		}
		ExpectWithOffset(1, f.caller.send(stmt.Statement{ID: "i", Text: text, Kind: kind, Name: "w", Rest: "x 1"}).Code).To(Equal(stmt.CodeDone), text)
	}
	return f.fleet.sent()[first]
}

// Guards against reads without the session's own commits after its route has led to another service (review/14).
var _ = Describe("A session whose route moves", func() {
	for name, c := range map[string]struct {
		write, between, read string
		// kind is that of the route while it leads elsewhere.
		kind plan.Freshness
	}{
		"single statements":                  {"WRITE x 1", "WRITE x 2", "READ x", plan.FreshSession},
		"transactions":                       {"BEGIN; WRITE x 1; COMMIT", "BEGIN; WRITE x 2; COMMIT", "BEGIN READ; READ x; COMMIT", plan.FreshSession},
		"prepared statements":                {"EXECUTE w x 1", "EXECUTE w x 1", "READ x", plan.FreshSession},
		"to a route of another type":         {"WRITE x 1", "WRITE x 2", "READ x", plan.FreshLatest},
		"to a route that accepts stale data": {"WRITE x 1", "WRITE x 2", "READ x", plan.FreshBounded},
		"without a commit elsewhere":         {"WRITE x 1", "READ x", "READ x", plan.FreshSession},
	} {
		It("reads its own commits at each service: "+name, func() {
			f := newMovedFixture(0)
			for range 3 {
				f.setRoute("s", plan.FreshSession)
				f.do(c.write)
				own := f.positions["s"]
				f.setRoute("t", c.kind)
				f.do(c.between)
				f.setRoute("", 0)
				f.setRoute("s", plan.FreshSession)
				order := f.do(c.read)
				Expect(order.After).To(Equal(model.NewPoint(1, own)))
				Expect(string(order.Server)).To(HavePrefix("s-"))
			}
		})
	}

	It("counts a commit for the service where its transaction began", func() {
		f := newMovedFixture(0)
		f.do("BEGIN; WRITE x 1")
		f.setRoute("t", plan.FreshSession)
		f.do("COMMIT")
		Expect(f.do("READ x").After).To(Equal(model.NewPoint(1, 1)))
		f.setRoute("s", plan.FreshSession)
		Expect(f.do("READ x").After).To(Equal(model.NewPoint(1, f.positions["s"])))
	})

	// A commit that was acknowledged can't be refused for lack of memory.
	for name, c := range map[string]struct {
		read   string
		proved bool
		begin  stmt.Op
	}{
		"single":      {"READ x", true, stmt.OpPass},
		"transaction": {"BEGIN READ; READ x; COMMIT", false, stmt.OpBegin},
	} {
		It("reads at the primary once if there is no room for the point of its commit: "+name, func() {
			f := newMovedFixture(60)
			f.do("WRITE x 1")
			f.setRoute("t", plan.FreshSession)
			f.do("WRITE x 2")
			order := f.do(c.read)
			Expect(order.Server).To(BeEquivalentTo("t-p"))
			Expect(order.Prove).To(Equal(c.proved))
			Expect(order.Begin).To(Equal(c.begin))
		})
	}

	// The servers of a service lost their logs. Reads waited for the end of the former log for as long as the session lasted.
	It("no longer waits for a commit that the log of its service has lost", func() {
		f := newMovedFixture(0)
		f.do("WRITE x 1")
		lost := model.NewPoint(1, f.positions["s"])
		f.fleet.mu.Lock()
		f.fleet.newestPoint = model.NewPoint(1, 2)
		f.fleet.run = func(_ plan.Server, order *stmt.Order) stmt.Result {
			if order.After == lost {
				return refuse(stmt.CodeLagging)
			}
			return done(2)
		}
		f.fleet.mu.Unlock()
		f.do("READ x")
		Expect(f.do("READ x").After).To(Equal(model.NewPoint(1, 2)))
	})

	// The instance in between remembered the transaction for as long as it ran.
	It("ends a transaction whose commit is in doubt", func() {
		f := newMovedFixture(0)
		f.do("BEGIN; WRITE x 1")
		f.fleet.mu.Lock()
		f.fleet.run = func(plan.Server, *stmt.Order) stmt.Result {
			return stmt.Result{Answer: stmt.Refuse(stmt.CodeConnectionLost, stmt.StateIdle, "lost")}
		}
		f.fleet.mu.Unlock()
		Expect(f.caller.ask("COMMIT", stmt.KindCommit).Code).To(Equal(stmt.CodeInDoubt))
		Eventually(f.fleet.sent).Should(ContainElement(HaveField("Statement.Kind", stmt.KindRollback)))
	})
})
