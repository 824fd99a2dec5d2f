package entry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/entry"
)

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
