package entry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/entry"
)

var _ = DescribeTable("Entry doesn't take a second place in the line of a server that callers compete for",
	func(waits []stmt.PriorityWait, wantPrimaryOrders func(int) bool, wantText string) {
		f := newUnobservedFixture([]plan.Server{{ID: "p", Service: "s", Primary: true, Slots: 2}, {ID: "r", Service: "s", Slots: 2}}, func(*entry.Config, *plan.Config) {})
		f.fleet.newestPoint = model.NewPoint(1, 9)
		f.fleet.run = func(server plan.Server, _ *stmt.Order) stmt.Result {
			if !server.Primary {
				return refuse(stmt.CodeLagging)
			}
			result := refuse(stmt.CodeBusy)
			result.RetryAfter, result.Waits = 700*time.Millisecond, waits
			return result
		}
		answer := f.connect().ask("READ x", stmt.KindRead)
		Expect(answer.Code).To(Equal(stmt.CodeBusy))
		Expect(answer.Text).To(ContainSubstring(wantText))
		primaryOrders := f.orders()["p"]
		Expect(wantPrimaryOrders(primaryOrders)).To(BeTrue(), "%d orders to the primary", primaryOrders)
	},
	Entry("which reports its waits", []stmt.PriorityWait{{Wait: time.Second}}, func(n int) bool { return n == 1 }, "retry in 701 ms"),
	Entry("but tries other servers again", nil, func(n int) bool { return n > 1 }, "refused"),
)
