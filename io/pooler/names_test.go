package pooler_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/stmt"
	"pomelofork/io/clock"
	"pomelofork/io/pooler"
)

// execute returns an order that executes a prepared statement.
func execute(id, shape string) *stmt.Order {
	o := order(id, "EXECUTE mine x", stmt.KindExecute)
	o.Statement.Name, o.Statement.Rest = "mine", "x"
	o.Prepared = stmt.Prepared{Shape: shape}
	o.Values = []stmt.Value{{Name: "n", Content: "1"}}
	return o
}

// A name with a part of a caller's text is split into fields by the server, and the statements of one account
// share a connection, so that callers could accumulate statements there without end.
var _ = Describe("The names of prepared statements at a server", func() {
	var conn *scriptedConn
	var pool *pooler.Pool
	var run func(*stmt.Order) map[stmt.Op]int
	BeforeEach(func() {
		state := stmt.StateIdle
		conn = newScriptedConn(func(c stmt.Command) (stmt.Answer, bool) {
			if c.Op == stmt.OpBegin {
				state = stmt.StateOpen
			} else if c.Text == "COMMIT" {
				state = stmt.StateIdle
			}
			return stmt.Answer{State: state}, true
		})
		pool = newScriptedPool(conn)
		// run runs an order and returns how often each operation was sent for it.
		run = func(o *stmt.Order) map[stmt.Op]int {
			before := conn.count()
			ExpectWithOffset(1, pool.Run(clock.Now(), o).Answer.Code).To(Equal(stmt.CodeDone))
			count := map[stmt.Op]int{}
			for _, c := range conn.sent[before:] {
				count[c.Op]++
			}
			return count
		}
	})

	It("are short and contain nothing of the shape", func() {
		names := map[string]bool{}
		for i, shape := range []string{"q", "q WRITE dv", " ", "w_q", "p0", strings.Repeat("é\r\x00", 1000)} {
			Expect(run(execute(fmt.Sprint("e", i), shape))).To(HaveKeyWithValue(stmt.OpPrepare, 1))
			Expect(run(execute(fmt.Sprint("f", i), shape))).NotTo(HaveKey(stmt.OpPrepare), "the connection has the statement already")
		}
		for _, c := range conn.sent {
			if c.Op == stmt.OpPrepare {
				Expect(c.Name).To(MatchRegexp(`^p[0-9a-z]+$`))
				Expect(len(c.Name)).To(BeNumerically("<=", pooler.MaxNameBytes))
				names[c.Name] = true
			}
		}
		Expect(names).To(HaveLen(6))
	})

	for name, c := range map[string]struct {
		shape func(i int) string
		// until is the number of statements that the connection holds.
		until int
	}{
		"too many":  {func(i int) string { return fmt.Sprint("q", i) }, 1000},
		"too large": {func(i int) string { return strings.Repeat("x", 1<<18) + fmt.Sprint(i) }, 3},
	} {
		It("begin anew after a reset of the session when the connection has them: "+name, func() {
			for i := range c.until {
				Expect(run(execute(fmt.Sprint("e", i), c.shape(i)))).NotTo(HaveKey(stmt.OpReset))
			}
			Expect(run(execute("in", c.shape(0)))).NotTo(HaveKey(stmt.OpReset))
			Expect(run(inTransaction(execute("b", c.shape(0)), 7, stmt.OpBegin))).NotTo(HaveKey(stmt.OpReset))
			Expect(run(inTransaction(execute("t", "other"), 7, stmt.OpPass))).NotTo(HaveKey(stmt.OpReset), "a transaction keeps its session")
			commit := execute("c", "")
			commit.Statement = stmt.Statement{ID: "c", Text: "COMMIT", Kind: stmt.KindCommit}
			Expect(run(inTransaction(commit, 7, stmt.OpPass))).NotTo(HaveKey(stmt.OpReset))
			Expect(run(execute("r", c.shape(c.until)))).To(Equal(map[stmt.Op]int{stmt.OpReset: 1, stmt.OpSet: 1, stmt.OpPrepare: 1, stmt.OpPass: 1}))
		})
	}

	// A transaction whose statements were prepared under one name after the other held 200 MiB after 200 of them.
	for name, c := range map[string]struct{ size, until int }{"too many": {0, 2000}, "too large": {1 << 20, 15}} {
		It("are bounded in a transaction, too: "+name, func() {
			shape := func(i int) string { return fmt.Sprintf("%05d", i) + strings.Repeat("x", c.size) }
			run(inTransaction(execute("b", shape(0)), 7, stmt.OpBegin))
			for i := range c.until {
				run(inTransaction(execute(fmt.Sprint("e", i), shape(i)), 7, stmt.OpPass))
			}
			before := conn.count()
			result := pool.Run(clock.Now(), inTransaction(execute("o", shape(c.until)), 7, stmt.OpPass))
			Expect(result).To(HaveField("NotSent", true))
			Expect(result.Answer.Code).To(Equal(stmt.CodeTooLarge))
			Expect(conn.count()).To(Equal(before))
			Expect(run(inTransaction(execute("a", shape(1)), 7, stmt.OpPass))).To(Equal(map[stmt.Op]int{stmt.OpPass: 1}))
		})
	}

	// The record of the connection was kept, so that each execution on it failed.
	It("are given anew on another connection if the server doesn't know one", func() {
		forgetful := newScriptedConn(func(c stmt.Command) (stmt.Answer, bool) {
			if c.Op == stmt.OpPass {
				return stmt.Refuse(stmt.CodeNoStatement, stmt.StateIdle, c.Name), true
			}
			return stmt.Answer{}, true
		})
		other := newScriptedConn(done)
		pool := newScriptedPool(forgetful, other)
		Expect(pool.Run(clock.Now(), execute("e", "q")).Answer.Code).To(Equal(stmt.CodeNoStatement))
		Expect(pool.Run(clock.Now(), execute("f", "q")).Answer.Code).To(Equal(stmt.CodeDone))
		Expect(forgetful.texts()).To(HaveLen(1))
	})
})
