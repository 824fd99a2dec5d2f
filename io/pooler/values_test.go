package pooler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/stmt"
	"pomelofork/io/clock"
)

// Comparing each value with all others held up the statements of all sessions at the server.
var _ = Describe("A session with many values", func() {
	It("holds up the other statements at its server for a short time only", func() {
		conn := newScriptedConn(done)
		conn.answers = make(chan stmt.Answer, 1<<17)
		pool := newScriptedPool(conn)
		o := order("r", "READ x", stmt.KindRead)
		for i := range 60000 {
			o.Values = append(o.Values, stmt.Value{Name: fmt.Sprintf("%07d", i), Content: "1"})
		}
		o.Timeout = time.Minute
		Expect(pool.Run(clock.Now(), o).Answer.Code).To(Equal(stmt.CodeDone))
		start := time.Now()
		Expect(pool.Run(clock.Now(), o).Answer.Code).To(Equal(stmt.CodeDone))
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	})
})
