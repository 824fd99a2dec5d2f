package epoch_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/epoch"
)

// source is where confirmations of a permit come from: how often it is asked, one in how many answers
// is lost, the longest delay of an answer, and the age that the content may have when it is answered.
type source struct {
	interval  time.Duration
	lossOneIn int
	delay     time.Duration
	age       time.Duration
}

// share returns the part of a simulated time in which a permit of the given life is in force.
func share(life time.Duration, sources ...source) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	p := epoch.Permit{Confirmed: start, Registered: start, ValidUntil: start.Add(time.Hour), Life: life}
	arrivals := map[time.Duration]time.Time{}
	const steps = 60_000
	valid := 0
	for i := range steps {
		elapsed := time.Duration(i) * modelStep
		now := start.Add(elapsed)
		for _, s := range sources {
			if elapsed%s.interval == 0 && random.IntN(s.lossOneIn) != 0 {
				arrives := (elapsed + time.Duration(random.Int64N(int64(s.delay)))).Truncate(modelStep)
				arrivals[arrives] = now.Add(-time.Duration(random.Int64N(int64(s.age + 1))))
			}
		}
		if at, ok := arrivals[elapsed]; ok && at.After(p.Confirmed) {
			p.Confirmed = at
		}
		if p.Valid(now) {
			valid++
		}
	}
	return float64(valid) / steps
}

// A permit that ends although nothing was withdrawn has the writes of a service refused.
var _ = Describe("A permit in force", func() {
	// The store's watcher is asked in the same way where there is no monitor.
	monitor := source{150 * time.Millisecond, 10, 100 * time.Millisecond, 0}
	slowMonitor := source{150 * time.Millisecond, 4, 300 * time.Millisecond, 0}
	follower := source{700 * time.Millisecond, 50, 20 * time.Millisecond, time.Second}
	for name, c := range map[string]struct {
		life     time.Duration
		sources  []source
		from, to float64
	}{
		"lasts while the store and the monitor answer":              {epoch.ShortPermitLife, []source{follower, monitor}, 0.9999, 1},
		"lasts through an outage of the store":                      {epoch.ShortPermitLife, []source{monitor}, 0.9999, 1},
		"lasts through one with a slow monitor and lost answers":    {epoch.ShortPermitLife, []source{slowMonitor}, 0.99, 1},
		"doesn't last without a monitor by the usual confirmations": {700 * time.Millisecond, []source{follower}, 0, 0.6},
		"lasts by the usual confirmations if it is long":            {epoch.PermitLife, []source{follower}, 0.99, 1},
		"ends if neither the store nor the monitor answers":         {epoch.ShortPermitLife, nil, 0, 0.01},
	} {
		It(name, func() {
			Expect(share(c.life, c.sources...)).To(And(BeNumerically(">=", c.from), BeNumerically("<=", c.to)))
		})
	}
})
