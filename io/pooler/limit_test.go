package pooler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
	"pomelofork/emul/group"
	"pomelofork/io/clock"
)

// Guards against a limit of connections that stays as it was when the pool was created, maybe before any configuration
// was known.
var _ = Describe("A pool whose limit of connections is changed by the configuration", func() {
	for name, c := range map[string]struct{ created, changed, want int }{
		"raised":                          {3, 16, 6},
		"lowered":                         {16, 4, 2},
		"known only after the pool":       {0, 4, 2},
		"missing, so that the last holds": {4, 0, 2},
	} {
		It("keeps to the present limit: "+name, func() {
			f := newFixture(group.Config{})
			f.pool = f.newPool("p", c.created)
			use := func(id string) {
				for i := range 6 {
					o := order(fmt.Sprint(id, i), "READ x", stmt.KindRead)
					o.Account = model.AccountID(fmt.Sprint("a", i))
					Expect(f.run(o).Answer.Code).To(Equal(stmt.CodeDone))
				}
			}
			use("before")
			f.pool.SetLimits(c.changed, 0)
			use("after")
			f.pool.Tick(clock.Now(), true)
			Eventually(f.group.Server("p").Sessions).WithTimeout(5 * time.Second).Should(Equal(c.want))
		})
	}
})
