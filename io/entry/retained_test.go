package entry_test

import (
	"fmt"
	"runtime"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/entry"
)

// heapBytes returns the memory that is in use after a collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// A name or shape that shares memory with the message that it came in keeps the whole message, beyond the budget.
var _ = Describe("The memory that a session holds", func() {
	for _, kind := range []stmt.Kind{stmt.KindSet, stmt.KindPrepare} {
		It("is that of its settings, not of the messages they came in: "+kind.String(), func() {
			const count = 100
			f := newFixture([]plan.Server{{ID: "r", Service: "s"}}, func(c *entry.Config, _ *plan.Config) { c.MaxSettingsBytes = 1 << 20 })
			caller := f.connect()
			before := heapBytes()
			for i := range count {
				message := strings.Repeat("x", 1<<20) + fmt.Sprintf("n%03d", i) + "content"
				name, rest := message[1<<20:1<<20+4], message[1<<20+4:]
				Expect(caller.send(stmt.Statement{ID: "i", Kind: kind, Name: name, Rest: rest}).Code).To(Equal(stmt.CodeDone))
			}
			Expect(heapBytes() - before).To(BeNumerically("<", count<<20/4))
			Expect(caller.send(stmt.Statement{ID: "i", Kind: kind, Name: "last", Rest: "1"}).Code).To(Equal(stmt.CodeDone))
		})
	}
})
