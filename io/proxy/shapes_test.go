package proxy

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
)

// A gateway of an older build names a statement by its shape, and the server takes a blank as the end of a name.
var _ = Describe("An execution while the gateways run an older build", func() {
	for name, c := range map[string]struct {
		shape string
		data  int
		sent  bool
	}{
		"is sent to one if the shape can be a name":                   {"q2c", 1 << 10, true},
		"is refused at once if the shape has a blank":                 {"q2c WRITE", 1, false},
		"is refused at once if the shape is too long":                 {strings.Repeat("q", maxNameShape+1), 1, false},
		"is refused at once if the message to the server is too long": {strings.Repeat("q", maxNameShape), 1<<20 - maxNameShape, false},
	} {
		It(name, func() {
			n, orders := newNodeWithGateways(2)
			order := stmt.Order{Statement: stmt.Statement{ID: "e", Text: "EXECUTE s x", Kind: stmt.KindExecute, Name: "s", Rest: "x " + strings.Repeat("d", c.data)}, Prepared: stmt.Prepared{Shape: c.shape}, Timeout: time.Second}
			result := n.Run(clock.Now(), plan.Server{ID: "s1", Service: "s", Domain: "d"}, &order)
			Expect(result.NotSent).To(BeTrue())
			Expect(orders.Load() > 0).To(Equal(c.sent))
			if !c.sent {
				Expect(result.Answer.Code).To(Equal(stmt.CodeBusy))
				Expect(result.RetryAfter).To(BeNumerically(">", 0))
			}
		})
	}
})
