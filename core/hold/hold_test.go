package hold_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/hold"
	"pomelofork/emul/seed"
)

func TestHold(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hold", seed.Suite())
}

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("Forecast", func() {
	observed := func(promotions ...int) *hold.Forecast {
		f := &hold.Forecast{}
		for _, ms := range promotions {
			f.Observe(at(ms), hold.Gap{Promoting: true, Since: start})
		}
		return f
	}
	lost := hold.Gap{Since: start}
	promoting := hold.Gap{Promoting: true, Since: start}

	It("adds both phases until a server is appointed", func() {
		Expect((&hold.Forecast{}).End(start, lost)).To(Equal(at(1500)))
		Expect((&hold.Forecast{}).End(start, promoting)).To(Equal(at(1000)))
	})
	It("follows what promotions take, beyond their mean if they differ", func() {
		Expect(observed(300, 300, 300, 300, 300, 300, 300, 300, 300).End(start, promoting)).To(BeTemporally("~", at(310), 10*time.Millisecond))
		Expect(observed(300, 900, 300, 900).End(start, promoting)).To(BeTemporally(">", at(900)))
	})
	It("expects a phase that is overdue to last a part of its length longer", func() {
		Expect(observed(300).End(at(2000), promoting)).To(Equal(at(2500)))
	})
	It("has limits", func() {
		Expect(observed(1).End(start, promoting)).To(Equal(at(50)))
		Expect(observed(3_600_000).End(start, promoting)).To(Equal(at(4000)))
	})
})

var _ = Describe("Line", func() {
	request := hold.Request{Received: start, Timeout: 2 * time.Second, Slots: 2, Instances: 4}

	It("lets as many wait as can start in time, and tells the others to come back after these", func() {
		l := &hold.Line{}
		l.Measure(50 * time.Millisecond)
		for range 5 {
			_, ok := l.Enter(start, at(1000), request)
			Expect(ok).To(BeTrue())
		}
		after, ok := l.Enter(start, at(1000), request)
		Expect(ok).To(BeFalse())
		Expect(after).To(Equal(1500 * time.Millisecond))
		By("giving the next one a later time")
		after, _ = l.Enter(start, at(1000), request)
		Expect(after).To(Equal(1600 * time.Millisecond))
		By("letting another one wait when one has left")
		l.Leave()
		_, ok = l.Enter(start, at(1000), request)
		Expect(ok).To(BeTrue())
	})
	It("lets none wait that can't start in time", func() {
		l := &hold.Line{}
		after, ok := l.Enter(start, at(1600), request)
		Expect(ok).To(BeFalse())
		Expect(after).To(Equal(1600 * time.Millisecond))
		Expect(l.Stays(at(1600), request)).To(BeFalse())
		Expect(l.Stays(at(1400), request)).To(BeTrue())
	})
})

// promotionReplay sends 120 statements a second for a service with 3 slots of 20 ms work, whose primary
// is missing for 1.2 s. Each caller has 2 s, and repeats a rejected statement twice, after 50 and
// 100 ms. It returns the parts that were answered, and that were rejected after a wait.
func promotionReplay(holds bool) (answered, rejectedLate float64) {
	const step = 5 * time.Millisecond
	type caller struct {
		received, next time.Time
		retries        int
		waiting        bool
	}
	var f hold.Forecast
	l := &hold.Line{}
	gap := hold.Gap{Promoting: true, Since: start}
	gapEnd := at(1200)
	var callers []*caller
	asked, done, late := 0, 0, 0
	var slots [3]time.Time
	for now := start; now.Before(at(6000)); now = now.Add(step) {
		if now.Before(at(2400)) && int(now.Sub(start)/step)%5 < 3 {
			asked++
			callers = append(callers, &caller{received: now, next: now})
		}
		var left []*caller
		for _, c := range callers {
			r := hold.Request{Received: c.received, Timeout: 2 * time.Second, Slots: 3, Instances: 1}
			switch {
			case now.Before(c.next):
				left = append(left, c)
			case now.Before(gapEnd):
				ok := c.waiting && l.Stays(f.End(now, gap), r)
				if holds && !c.waiting {
					_, ok = l.Enter(now, f.End(now, gap), r)
				} else if c.waiting && !ok {
					l.Leave()
					late++
					c.waiting = false
				}
				if c.waiting = ok; ok {
					left = append(left, c)
				} else if c.retries++; c.retries <= 2 {
					c.next = now.Add(time.Duration(c.retries) * 50 * time.Millisecond)
					left = append(left, c)
				}
			default:
				if c.waiting {
					l.Leave()
					c.waiting = false
				}
				free := -1
				for i, until := range slots {
					if !now.Before(until) {
						free = i
					}
				}
				switch {
				case free >= 0:
					slots[free] = now.Add(20 * time.Millisecond)
					done++
				case now.Sub(c.received) < 2*time.Second:
					left = append(left, c)
				}
			}
		}
		callers = left
	}
	return float64(done) / float64(asked), float64(late) / float64(asked)
}

var _ = Describe("A promotion under load", func() {
	It("has nearly all statements answered if they wait, most of them rejected if not, and none rejected after a wait", func() {
		answered, late := promotionReplay(true)
		Expect(answered).To(BeNumerically(">=", 0.9))
		Expect(late).To(BeZero())
		answered, _ = promotionReplay(false)
		Expect(answered).To(BeNumerically("<", 0.65))
	})
})
