package proxy

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/reach"
	"pomelofork/io/clock"
)

var _ = Describe("The check whether an instance is isolated", func() {
	for name, c := range map[string]struct {
		// ageAfter is the age of the own confirmation after the survey.
		ageAfter time.Duration
		want     bool
	}{
		"it is confirmed during the survey":  {100 * time.Millisecond, false},
		"it stays stale while peers are not": {3 * time.Second, true},
		"it is confirmed, but stale even so": {2900 * time.Millisecond, true},
	} {
		It("compares the peers with the confirmation after the survey, since a stall makes all stale for a moment: "+name, func() {
			var d reach.Detector
			var unresponsive atomic.Bool
			now := clock.Now()
			age := 3 * time.Second
			survey := func(time.Time) reach.Survey {
				age = c.ageAfter
				return reach.Survey{Asked: 2, ConfigAges: []time.Duration{100 * time.Millisecond}, StoreAnswers: true}
			}
			Expect(checkIsolation(now, &d, &unresponsive, func() (time.Time, bool) { return now.Add(-age), true }, survey)).To(BeTrue())
			Expect(d.Isolated()).To(Equal(c.want))
		})
	}
})
