package place_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/place"
	"pomelofork/core/plan"
	"pomelofork/emul/seed"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "place", seed.Suite())
}

var now = time.Unix(1_000, 0)

// server returns a candidate with an up-to-date log and no load, changed by change unless
// it is nil.
func server(id string, change func(*place.Candidate)) place.Candidate {
	c := place.Candidate{
		Server: plan.Server{ID: model.ServerID(id), Slots: 2}, Point: model.NewPoint(1, 100), PointAt: now, WaitAt: now,
	}
	if change != nil {
		change(&c)
	}
	return c
}

func primary(c *place.Candidate)    { c.Server.Primary = true }
func sameDomain(c *place.Candidate) { c.SameDomain = true }
func draining(c *place.Candidate)   { c.Server.Draining = true }
func lagging(c *place.Candidate)    { c.Point = model.NewPoint(1, 10) }

func cold(c *place.Candidate) { c.Cold, c.ColdInterval = true, 25*time.Millisecond }

func busy(wait time.Duration) func(*place.Candidate) {
	return func(c *place.Candidate) { c.Wait = wait }
}

var _ = Describe("Choose", func() {
	read := place.Requirement{After: model.NewPoint(1, 50)}
	for name, c := range map[string]struct {
		required   place.Requirement
		candidates []place.Candidate
		want       string
	}{
		"the replica in the same failure domain":                                 {read, []place.Candidate{server("far", nil), server("near", sameDomain), server("p", primary)}, "near"},
		"a replica in another domain when the one in the same domain has a wait": {read, []place.Candidate{server("far", nil), server("near", func(c *place.Candidate) { sameDomain(c); c.Wait = 50 * time.Millisecond })}, "far"},
		"a replica before the primary":                                           {read, []place.Candidate{server("p", primary), server("r", nil)}, "r"},
		"the primary when replicas wait":                                         {read, []place.Candidate{server("p", primary), server("r", busy(80*time.Millisecond))}, "p"},
		"the primary when replicas lag":                                          {read, []place.Candidate{server("p", primary), server("r", lagging)}, "p"},
		"a warm replica in another domain before a cold one, which is idle":      {read, []place.Candidate{server("cold", func(c *place.Candidate) { sameDomain(c); cold(c) }), server("far", nil)}, "far"},
		"the primary before a cold replica":                                      {read, []place.Candidate{server("cold", cold), server("p", primary)}, "p"},
		"a cold replica before a long wait":                                      {read, []place.Candidate{server("cold", cold), server("r", busy(80*time.Millisecond))}, "cold"},
		"no cold replica that has as much as it can take":                        {read, []place.Candidate{server("cold", func(c *place.Candidate) { cold(c); c.InFlight = 3 }), server("r", busy(80*time.Millisecond))}, "r"},
		"a cold replica if there is no other":                                    {read, []place.Candidate{server("cold", cold)}, "cold"},
		"no draining replica":                                                    {read, []place.Candidate{server("p", primary), server("r", draining)}, "p"},
		"no server when all lag":                                                 {read, []place.Candidate{server("r", lagging)}, ""},
		"a fast server in another domain before a slow one in the same domain": {read, []place.Candidate{server("far", func(c *place.Candidate) {
			c.Latency, c.LatencyAt = 10*time.Millisecond, now
		}), server("near", func(c *place.Candidate) {
			sameDomain(c)
			c.Latency, c.LatencyAt = 80*time.Millisecond, now
		})}, "far"},
		"a server in the same domain that was slow some time ago": {read, []place.Candidate{server("far", nil), server("near", func(c *place.Candidate) {
			sameDomain(c)
			c.Latency, c.LatencyAt = 80*time.Millisecond, now.Add(-3*time.Second)
		})}, "near"},
		"no server with a failure rate of 0.2 if there is another": {read, []place.Candidate{server("far", nil), server("near", func(c *place.Candidate) {
			sameDomain(c)
			c.FailureRate = 0.2
		})}, "far"},
		"the primary for a write": {place.Requirement{Primary: true}, []place.Candidate{server("r", sameDomain), server("p", primary)}, "p"},
		"no primary for a write":  {place.Requirement{Primary: true}, []place.Candidate{server("r", nil)}, ""},
		"a draining primary for a write": {place.Requirement{Primary: true}, []place.Candidate{server("p", func(c *place.Candidate) {
			primary(c)
			draining(c)
		})}, "p"},
		"a lagging replica again after a while": {read, []place.Candidate{server("r", func(c *place.Candidate) {
			lagging(c)
			c.PointAt = now.Add(-time.Second)
		})}, "r"},
		"the primary with the later revision": {place.Requirement{Primary: true}, []place.Candidate{
			server("old", func(c *place.Candidate) { primary(c); c.Server.Revision = 4 }),
			server("new", func(c *place.Candidate) { primary(c); c.Server.Revision = 9 }),
		}, "new"},
	} {
		It("chooses "+name, func() {
			i, ok := place.Choose(now, c.required, c.candidates)
			Expect(ok).To(Equal(c.want != ""))
			if ok {
				Expect(c.candidates[i].Server.ID).To(Equal(model.ServerID(c.want)))
			}
		})
	}

	It("distributes many reads over all servers by the number in flight", func() {
		candidates := []place.Candidate{server("p", primary), server("near", sameDomain), server("far", nil)}
		for range 40 {
			i, ok := place.Choose(now, read, candidates)
			Expect(ok).To(BeTrue())
			candidates[i].InFlight++
		}
		for _, c := range candidates {
			// An even third of the reads, less the two that a server in another domain or a
			// primary gets fewer because of its additional cost.
			Expect(c.InFlight).To(BeNumerically(">=", 40/3-2), string(c.Server.ID))
		}
		Expect(candidates[1].InFlight).To(BeNumerically(">", candidates[0].InFlight))
	})
})
