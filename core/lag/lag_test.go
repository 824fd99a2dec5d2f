package lag_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/lag"
	"pomelofork/emul/seed"
)

func TestLag(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lag", seed.Suite())
}

var start = time.Unix(1_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// The failures guarded against: reads that wait for a log that won't be there in time or stands still.
var _ = Describe("Replica", func() {
	for name, c := range map[string]struct {
		samples [][2]int
		want    int
		known   bool
	}{
		"nothing seen":                            {nil, 0, false},
		"one sample without the point":            {[][2]int{{950, 0}}, 0, false},
		"one sample with the point":               {[][2]int{{950, 900}}, 950, true},
		"a constant lag":                          {[][2]int{{700, 400}, {900, 600}}, 1200, true},
		"a log that catches up":                   {[][2]int{{700, -1500}, {900, 300}}, 967, true},
		"a log that stands still":                 {[][2]int{{700, 300}, {900, 300}}, 0, false},
		"samples that are too old":                {[][2]int{{200, -1500}, {400, 300}}, 0, false},
		"a log that went back":                    {[][2]int{{700, 400}, {800, 600}, {900, 100}}, 0, false},
		"samples that are too close for a speed":  {[][2]int{{880, 100}, {900, 300}}, 0, false},
		"a sample that arrives after a later one": {[][2]int{{950, 900}, {900, 100}}, 950, true},
	} {
		It("estimates when it has caught up: "+name, func() {
			var r lag.Replica
			for _, s := range c.samples {
				r.Observe(at(s[0]), at(s[1]))
			}
			got, known := r.CatchUp(at(1000), at(900))
			Expect(known).To(Equal(c.known))
			if known {
				Expect(got).To(BeTemporally("~", at(c.want), time.Millisecond))
			}
		})
	}

	It("is probed less and less often until it has caught up", func() {
		var r lag.Replica
		var probes []int
		for ms := 0; ms < 1500; ms += 10 {
			if r.MayProbe(at(ms)) {
				r.Probe(at(ms))
				r.Observe(at(ms), at(-3000))
				probes = append(probes, ms)
			}
		}
		Expect(probes).To(Equal([]int{0, 160, 480, 800, 1120, 1440}))
		r.Observe(at(1500), at(1500))
		r.CatchUp(at(1500), at(1400))
		Expect(r.MayProbe(at(1600))).To(BeTrue())
	})
})

var _ = Describe("Decide", func() {
	in := func(ms int) []lag.Replacement { return []lag.Replacement{{At: at(ms), Slots: 2}} }
	for name, c := range map[string]struct {
		replicas  []lag.Replacement
		waiting   int
		primary   bool
		closed    int
		action    lag.Action
		afterMsec int
	}{
		"a replica catches up in time":               {in(100), 0, true, 0, lag.ActionWait, 100},
		"a replica catches up too late":              {in(190), 0, true, 0, lag.ActionPrimary, 0},
		"too many wait already":                      {in(100), 5, true, 0, lag.ActionPrimary, 0},
		"nothing is known of replicas":               {nil, 0, true, 0, lag.ActionPrimary, 0},
		"the primary takes no more reads":            {nil, 0, true, 50, lag.ActionRefuse, 50},
		"the primary is closed, a replica is sooner": {in(190), 0, true, 250, lag.ActionRefuse, 190},
		"no primary": {nil, 0, false, 0, lag.ActionRefuse, 300},
	} {
		It("is right: "+name, func() {
			action, after := lag.Decide(start, lag.Read{
				Target: at(200), Work: 20 * time.Millisecond, Waiting: c.waiting, Instances: 2, Replicas: c.replicas, Primary: c.primary, PrimaryClosedUntil: at(c.closed),
			})
			Expect(action).To(Equal(c.action))
			Expect(after).To(Equal(time.Duration(c.afterMsec) * time.Millisecond))
		})
	}
})
