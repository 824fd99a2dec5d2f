package wait_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/wait"
)

// Lookups whose work takes up to 410 ms were cut off after 350 ms at every server that was tried.
var _ = Describe("The time-outs of answers", func() {
	const base = 350 * time.Millisecond
	for name, c := range map[string]struct {
		contended bool
		cost      time.Duration
		want      time.Duration
	}{
		"usual statements":                     {true, 20 * time.Millisecond, base},
		"slow lookups":                         {true, 55 * time.Millisecond, 440 * time.Millisecond},
		"a server that has become slow":        {true, time.Second, 2 * base},
		"slow lookups without competition":     {false, 55 * time.Millisecond, base},
		"a class that has never been measured": {true, 0, base},
	} {
		It("follow what statements take: "+name, func() {
			queue := wait.NewWithPolicy[int](6, wait.Policy{Contended: c.contended})
			if c.cost > 0 {
				queue.ObserveCost("lookup", c.cost)
			}
			Expect(queue.AnswerTimeout("lookup", base)).To(Equal(c.want))
			Expect(queue.SilenceTimeout(base)).To(Equal(c.want))
		})
	}
})
