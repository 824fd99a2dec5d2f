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

var _ = DescribeTable("Entry doesn't take a second place in the line of a server that callers compete for",
	func(waits []stmt.PriorityWait, wantPrimaryOrders func(int) bool, wantText string) {
		f := &fakeFleet{grant: quota.Grant{Tokens: 1}, held: true, newestPoint: model.NewPoint(1, 9)}
		f.run = func(server plan.Server, _ *stmt.Order) stmt.Result {
			if !server.Primary {
				return refuse(stmt.CodeLagging)
			}
			result := refuse(stmt.CodeBusy)
			result.RetryAfter, result.Waits = 700*time.Millisecond, waits
			return result
		}
		v := &fakeView{fresh: clock.Now(), state: view.State{
			Plan: plan.New(plan.Config{Version: 1, Routes: map[string]plan.Route{
				"open": {Name: "open", Service: "s", Timeout: time.Second, TargetLatency: 200 * time.Millisecond, Freshness: plan.FreshBounded, MaxAge: time.Second, Public: true},
			}}),
			Services: map[model.ServiceID][]plan.Server{"s": {{ID: "p", Service: "s", Primary: true, Slots: 2}, {ID: "r", Service: "s", Slots: 2}}},
		}}
		conns := make(chan net.Conn)
		DeferCleanup(func() { close(conns) })
		entry.New(entry.Config{
			RunID: 3, View: v, Fleet: f, Meter: discardMeter{}, Log: slog.New(slog.DiscardHandler),
			Codec: func(c net.Conn) entry.Caller { return c.(callerConn).caller },
		}).Serve(&fakeListener{conns})
		c := newCaller("open", "")
		conns <- callerConn{caller: c}
		Expect(c.answer().Code).To(Equal(stmt.CodeDone))
		answer := c.ask("READ x", stmt.KindRead)
		Expect(answer.Code).To(Equal(stmt.CodeBusy))
		Expect(answer.Text).To(ContainSubstring(wantText))
		primaryOrders := 0
		for _, o := range f.sent() {
			if o.Server == "p" {
				primaryOrders++
			}
		}
		Expect(wantPrimaryOrders(primaryOrders)).To(BeTrue(), "%d orders to the primary", primaryOrders)
	},
	Entry("which reports its waits", []stmt.PriorityWait{{Wait: time.Second}}, func(n int) bool { return n == 1 }, "retry in 701 ms"),
	Entry("but tries other servers again", nil, func(n int) bool { return n > 1 }, "refused"),
)
