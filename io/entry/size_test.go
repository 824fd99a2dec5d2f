package entry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/plan"
	"pomelofork/core/quota"
	"pomelofork/core/stmt"
	"pomelofork/io/entry"
)

var _ = Describe("A statement at the limit of a message", func() {
	It("runs at the primary without a log point, if there is no room for one", func() {
		f := newFixture([]plan.Server{{ID: "p", Service: "s", Primary: true}, {ID: "r", Service: "s"}}, func(*entry.Config, *plan.Config) {})
		caller := f.connect()
		Expect(caller.send(stmt.Statement{ID: "r1", Text: "READ x", Kind: stmt.KindRead, NoPrefix: true}).Code).To(Equal(stmt.CodeDone))
		order := f.fleet.sent()[0]
		Expect(order.Server).To(BeEquivalentTo("p"))
		Expect(order.Prove).To(BeTrue())
		Expect(order.After.IsZero()).To(BeTrue())
	})

	It("is refused at once if it can't be passed on", func() {
		f := newFixture([]plan.Server{{ID: "p", Service: "s", Primary: true}}, func(*entry.Config, *plan.Config) {})
		Expect(f.connect().send(stmt.Statement{ID: "e", Kind: stmt.KindOversized})).To(HaveField("Code", stmt.CodeTooLarge))
		Expect(f.fleet.sent()).To(BeEmpty())
	})

	// Before, the caller was told that a write was refused which had run.
	It("is in doubt if it is a write whose answer was too large", func() {
		f := newFixture([]plan.Server{{ID: "p", Service: "s", Primary: true}}, func(*entry.Config, *plan.Config) {})
		caller := f.connect()
		f.fleet.set(quota.Grant{Tokens: 1}, stmt.Result{Answer: stmt.Answer{Code: stmt.CodeTooLarge}})
		Expect(caller.ask("WRITE x y", stmt.KindWrite).Code).To(Equal(stmt.CodeInDoubt))
		f.fleet.set(quota.Grant{Tokens: 1}, stmt.Result{Answer: stmt.Answer{Code: stmt.CodeTooLarge}, NotSent: true})
		Expect(caller.ask("WRITE x z", stmt.KindWrite).Code).NotTo(Equal(stmt.CodeInDoubt))
	})
})
