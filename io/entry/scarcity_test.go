package entry_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/entry"
)

// Entries in different failure domains opened connections for an account at every replica.
var _ = Describe("Reads where gateways report what openings take", func() {
	for name, c := range map[string]struct {
		share float64
		same  bool
	}{
		"keep to one replica for each account if that is much": {0.3, true},
		"stay in the failure domain of the entry otherwise":    {0.05, false},
	} {
		It(name, func() {
			chosen := map[model.ServerID]bool{}
			for _, domain := range []model.Domain{"d1", "d2"} {
				servers := []plan.Server{{ID: "p", Service: "s", Primary: true, Slots: 2}, {ID: "r1", Service: "s", Domain: "d1", Slots: 2}, {ID: "r2", Service: "s", Domain: "d2", Slots: 2}}
				f := newFixture(servers, func(c *entry.Config, p *plan.Config) {
					c.Domain, p.Connections = domain, map[model.ServiceID]int{"s": 30}
					for i := range 80 {
						id := model.AccountID(fmt.Sprint("other", i))
						p.Accounts[id] = plan.Account{ID: id}
					}
				})
				f.fleet.run = func(plan.Server, *stmt.Order) stmt.Result {
					result := done(5)
					result.OpeningShare = c.share
					return result
				}
				caller := f.connect()
				// The reports arrive with the answers to the first reads, at any replica.
				for range 20 {
					Expect(caller.ask("READ x", stmt.KindRead).Code).To(Equal(stmt.CodeDone))
				}
				sent := f.fleet.sent()
				chosen[sent[len(sent)-1].Server] = true
			}
			Expect(len(chosen) == 1).To(Equal(c.same), "%v", chosen)
		})
	}
})
