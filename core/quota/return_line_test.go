package quota_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/quota"
)

var _ = Describe("ReturnLine", func() {
	It("gives each refused caller a later time, at the rate of the grants", func() {
		var l quota.ReturnLine
		for i := range 100 {
			l.Granted(at(time.Duration(i) * 10 * time.Millisecond))
		}
		var previous time.Duration
		for i := range 20 {
			after := l.ReturnAfter(at(second), 30*time.Millisecond, 5)
			if i == 0 {
				Expect(after).To(Equal(30 * time.Millisecond))
			} else {
				Expect(after - previous).To(BeNumerically("~", 20*time.Millisecond, 10*time.Millisecond))
			}
			previous = after
		}
		By("moving on with time")
		Expect(l.ReturnAfter(at(6*second), 0, 5)).To(BeZero())
	})
	It("has a longest time", func() {
		var l quota.ReturnLine
		for range 1000 {
			Expect(l.ReturnAfter(start, 0, 5)).To(BeNumerically("<=", 2*second))
		}
	})
})

var _ = Describe("A crowd of callers after a loss, more than there are tokens for", func() {
	// serve sends 120 operations at once to an account with 60 tokens a second, whose callers return
	// when they are told to, up to twice. It returns the fraction served.
	serve := func(line bool) float64 {
		bucket := quota.NewBucket(start, 60, 10)
		var l quota.ReturnLine
		type caller struct {
			next    time.Duration
			retries int
		}
		var callers []*caller
		for range 120 {
			callers = append(callers, &caller{})
		}
		served := 0
		for now := time.Duration(0); now < 6*second; now += 5 * time.Millisecond {
			for _, c := range callers {
				if now < c.next || c.retries > 2 {
					continue
				}
				grant := bucket.Draw(at(now), 1, 0, 0)
				if grant.Tokens > 0 {
					served++
					l.Granted(at(now))
					c.retries = 3
					continue
				}
				after := grant.RetryAfter
				if line {
					after = l.ReturnAfter(at(now), grant.RetryAfter, 60)
				}
				c.retries++
				c.next = now + max(after, 5*time.Millisecond)
			}
		}
		return float64(served) / 120
	}
	It("is served for the most part if each has a place in the line, and hardly if all are told the same time", func() {
		Expect(serve(true)).To(BeNumerically(">=", 0.5))
		Expect(serve(false)).To(BeNumerically("<", 0.1))
	})
})
