package gate_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"pomelofork/core/model"
	"pomelofork/emul/pgsim"
)

var _ = Describe("Gate with several client accounts", func() {
	// The queue looks at tickets beyond the one that it hands out. A pick left over from
	// such a look sent the ticket to a server that didn't fit, or to none at all.
	It("sends each ticket to the server that was picked for it", func(ctx SpecContext) {
		b := newBench(pgsim.Config{Slots: 2, Connections: 8, StatementCost: time.Millisecond})
		var work errgroup.Group
		for i := range 24 {
			work.Go(func() error {
				for n := range 20 {
					unit, text := reads("0/0"), "SELECT 1"
					if (n+i)%3 == 0 {
						unit, text = writes(), "INSERT INTO ledger (id) VALUES ('"+strconv.Itoa(i)+"."+strconv.Itoa(n)+"')"
					}
					unit.Account = model.AccountID("account-" + strconv.Itoa(i%6))
					if _, _, err := do(ctx, b.gate, unit, query(text)); err != nil {
						return err
					}
				}
				return nil
			})
		}
		Expect(work.Wait()).To(Succeed())
	})
})
