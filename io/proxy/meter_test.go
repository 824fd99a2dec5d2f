package proxy

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
)

// Each route that was ever configured kept its counters and a histogram until the process ended, whatever its name.
var _ = Describe("The meter", func() {
	It("has a bounded number of counters, whatever names it is given", func() {
		m := newMeter()
		for i := range 5000 {
			name := fmt.Sprint(i, "\"}\n", strings.Repeat("x", 1000))
			m.Statement(name, stmt.CodeDone, time.Millisecond)
			m.DomainBelief(model.Domain(name), "suspected")
		}
		Expect(len(m.latency)).To(BeNumerically("<=", maxRoutes+1))
		Expect(len(m.beliefs)).To(BeNumerically("<=", maxDomains+1))
		out := httptest.NewRecorder()
		m.ServeHTTP(out, nil)
		Expect(out.Body.Len()).To(BeNumerically("<", 4<<20))
		Expect(out.Body.String()).To(ContainSubstring(fmt.Sprintf(`pomelofork_statements{route="other routes",code="done"} %d`, 5000-maxRoutes)))
		for line := range strings.Lines(out.Body.String()) {
			Expect(line).To(MatchRegexp(`^pomelofork_[a-z_]+(\{[a-z]+="([^"\\]|\\.)*"(,[a-z]+="[^"]*")*\})? \d+\n$`))
		}
	})
})
