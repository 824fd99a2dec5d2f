package entry_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/entry"
)

var _ = Describe("What a session may hold", func() {
	set := func(name string, size int) stmt.Statement {
		return stmt.Statement{ID: "s", Kind: stmt.KindSet, Name: name, Rest: strings.Repeat("v", size)}
	}
	prepare := func(name string, size int) stmt.Statement {
		return stmt.Statement{ID: "p", Kind: stmt.KindPrepare, Name: name, Rest: strings.Repeat("q", size)}
	}
	many := func(statement func(string, int) stmt.Statement, count int) []stmt.Statement {
		var out []stmt.Statement
		for i := range count {
			out = append(out, statement(fmt.Sprint("n", i), 1))
		}
		return out
	}
	deallocate := stmt.Statement{ID: "d", Kind: stmt.KindDeallocate, Name: "n1"}
	// An order with all values of the session exceeded the limit of a message between instances, and one session
	// could take all memory of the instance.
	for name, c := range map[string]struct {
		accepted []stmt.Statement
		refused  stmt.Statement
	}{
		"values":                     {[]stmt.Statement{set("a", 1<<20), set("b", 1<<20-2)}, set("c", 0)},
		"values, by their number":    {append(many(set, 1000), set("n0", 5)), set("other", 1)},
		"a value that grows":         {[]stmt.Statement{set("a", 1<<20), set("b", 1<<19), set("a", 1)}, set("a", 3<<19)},
		"prepared statements":        {append(many(prepare, 1000), prepare("n0", 5)), prepare("other", 1)},
		"shapes":                     {[]stmt.Statement{prepare("a", 1<<22-4), prepare("b", 0)}, prepare("b", 3)},
		"prepared statements, freed": {append(many(prepare, 1000), deallocate, prepare("n1000", 1)), prepare("n1", 1)},
	} {
		It("is bounded: "+name, func() {
			f := newFixture([]plan.Server{{ID: "r", Service: "s"}}, func(*entry.Config, *plan.Config) {})
			caller := f.connect()
			for i, statement := range c.accepted {
				caller.statements <- statement
				Expect((<-caller.answers).Code).To(Equal(stmt.CodeDone), "statement %d", i)
			}
			Expect(caller.send(c.refused).Code).To(Equal(stmt.CodeTooLarge))
			Expect(f.fleet.sent()).To(BeEmpty())
		})
	}

	It("is bounded for all sessions together, until one of them ends", func() {
		f := newFixture([]plan.Server{{ID: "r", Service: "s"}}, func(c *entry.Config, _ *plan.Config) { c.MaxSettingsBytes = 100 })
		first, second := f.connect(), f.connect()
		Expect(first.send(set("a", 60)).Code).To(Equal(stmt.CodeDone))
		Expect(first.send(set("a", 50)).Code).To(Equal(stmt.CodeDone))
		Expect(first.send(prepare("p", 30)).Code).To(Equal(stmt.CodeDone))
		Expect(second.send(set("a", 40)).Code).To(Equal(stmt.CodeTooLarge))
		Expect(second.send(prepare("p", 17)).Code).To(Equal(stmt.CodeDone))
		Expect(second.send(prepare("q", 0)).Code).To(Equal(stmt.CodeTooLarge))
		close(first.statements)
		Eventually(func() stmt.Code { return second.send(set("a", 80)).Code }).WithTimeout(waitTimeout).Should(Equal(stmt.CodeDone))
	})
})
