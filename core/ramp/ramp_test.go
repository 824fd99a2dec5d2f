package ramp_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/ramp"
	"pomelofork/emul/seed"
)

func TestRamp(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ramp", seed.Suite())
}

var start = time.Unix(1_000, 0)

// at returns a time after the start, in milliseconds.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// gateway returns the claim of an instance that has long been the gateway, as of a time.
func gateway(now time.Time, limit int) ramp.Claim {
	return ramp.Claim{Limited: true, Max: limit, First: true, Since: now.Add(-time.Minute), Confirmed: now}
}

var _ = Describe("Limit", func() {
	for name, c := range map[string]struct {
		limit ramp.Limit
		rate  float64
		want  int
	}{
		"rate, factor and slack": {ramp.Limit{Factor: 1.5, Slack: 4}, 20, 34},
		"a negative rate":        {ramp.Limit{Factor: 1.5, Slack: 40}, -1, 0},
		"a rate that is none":    {ramp.Limit{Factor: 1.5, Slack: 40}, math.NaN(), 0},
		"less than one":          {ramp.Limit{Factor: 1, Slack: 0}, 0.5, 0},
		"a huge rate":            {ramp.Limit{Factor: 1, Slack: 0}, 1e300, math.MaxInt32},
		"a negative factor":      {ramp.Limit{Factor: -1, Slack: 100}, 20, 0},
	} {
		It("is safe for "+name, func() { Expect(c.limit.Max(c.rate)).To(Equal(c.want)) })
	}
})

var _ = Describe("Ramp", func() {
	for name, c := range map[string]struct {
		change func(*ramp.Claim)
		allows map[ramp.Work]bool
	}{
		"the gateway":                     {func(*ramp.Claim) {}, map[ramp.Work]bool{ramp.Movable: true, ramp.Bound: true, ramp.Open: true}},
		"an instance that isn't first":    {func(c *ramp.Claim) { c.First = false }, nil},
		"a gateway that settles":          {func(c *ramp.Claim) { c.Since = at(-3000) }, nil},
		"a gateway with an old view":      {func(c *ramp.Claim) { c.Confirmed = at(-2400) }, nil},
		"a gateway without confirmation":  {func(c *ramp.Claim) { c.Confirmed = time.Time{} }, nil},
		"any instance, without a limit":   {func(c *ramp.Claim) { *c = ramp.Claim{} }, map[ramp.Work]bool{ramp.Movable: true, ramp.Bound: true, ramp.Open: true}},
		"any instance, with an invalid 0": {func(c *ramp.Claim) { *c = ramp.Claim{Limited: true} }, map[ramp.Work]bool{ramp.Bound: true, ramp.Open: true}},
	} {
		It("of "+name+" lets only that work through", func() {
			claim := gateway(start, 10)
			c.change(&claim)
			r := ramp.New(time.Time{}, claim, at(5000))
			for _, work := range []ramp.Work{ramp.Movable, ramp.Bound, ramp.Open} {
				Expect(r.Allows(start, work, 1)).To(Equal(c.allows[work]), "%v", work)
				Expect(r.Allows(at(5000), work, 1)).To(BeTrue(), "the server is warm")
			}
		})
	}

	It("counts what was sent in the last second, also before the server was known to be cold", func() {
		r := ramp.New(time.Time{}, gateway(start, 10), time.Time{})
		r.Send(start, 100)
		r.Update(at(500), gateway(at(500), 10), at(9000))
		Expect(r.Allows(at(1000), ramp.Open, 1)).To(BeFalse())
		Expect(r.Allows(at(1100), ramp.Bound, 3)).To(BeTrue())
		r.Reserve(8)
		Expect(r.Allows(at(1100), ramp.Bound, 1)).To(BeFalse(), "new work leaves room to open transactions")
		Expect(r.Allows(at(1100), ramp.Open, 2)).To(BeTrue())
		r.Release(1)
		Expect(r.Allows(at(1100), ramp.Bound, 1)).To(BeTrue())
	})

	for name, c := range map[string]struct {
		claim       ramp.Claim
		first, lost bool
		part        int
	}{
		"half of it at its gateway if it was lost":                   {gateway(start, 24), false, true, 12},
		"half of it at its gateway at first":                         {gateway(start, 24), true, false, 12},
		"a sixth of it at another instance if it was lost":           {ramp.Claim{Limited: true, Max: 24}, false, true, 4},
		"a sixth of it at another instance that uses it for once":    {ramp.Claim{Limited: true, Max: 24}, true, false, 4},
		"all it takes at another instance that has used it for long": {ramp.Claim{Limited: true, Max: 24}, false, false, 99},
	} {
		It("gives a server that may have been started anew, until its entry can say so, "+name, func() {
			r := ramp.New(time.Time{}, c.claim, time.Time{})
			r.Opened(start, c.first, c.lost)
			sent := 0
			for ; sent < 99 && r.Allows(at(10), ramp.Open, 1); sent++ {
				r.Send(at(10), 1)
			}
			Expect(sent).To(Equal(c.part))
			Expect(r.Allows(at(1000), ramp.Open, 12)).To(Equal(c.part == 99), "the view is older than the return of the server")
			Expect(r.Unconfirmed(at(299))).To(BeFalse(), "its entry may not be written yet")
			Expect(r.Unconfirmed(at(300))).To(Equal(c.part != 99))
			later := c.claim
			later.Confirmed = at(400)
			r.Update(at(500), later, time.Time{})
			Expect(r.Allows(at(500), ramp.Open, 99)).To(BeTrue(), "the view shows that it wasn't started anew")
			r.Update(at(500), later, at(5000))
			Expect(r.Permits(at(500), ramp.Open)).To(Equal(c.claim.First), "its entry says that it is cold")
		})
	}

	It("assumes that the limit was used up by a pool before it, or before there was a limit", func() {
		Expect(ramp.New(at(-500), gateway(start, 10), at(9000)).Allows(start, ramp.Open, 1)).To(BeFalse())
		r := ramp.New(time.Time{}, ramp.Claim{}, at(9000))
		r.Send(start, 100)
		r.Update(start, gateway(start, 10), at(9000))
		Expect(r.Allows(at(1050), ramp.Open, 1)).To(BeFalse())
		Expect(r.Allows(at(1100), ramp.Open, 1)).To(BeTrue())
	})

	for name, c := range map[string]struct {
		work          ramp.Work
		sent, queued  int
		maxWait, wait time.Duration
		ok            bool
	}{
		"an empty queue":                         {ramp.Movable, 0, 0, 0, 0, true},
		"a full second, bound":                   {ramp.Bound, 10, 0, time.Second, time.Second, true},
		"a full second, with too little time":    {ramp.Bound, 10, 0, 900 * time.Millisecond, time.Second, false},
		"a full second, movable":                 {ramp.Movable, 10, 0, time.Second, time.Second, false},
		"a full second and a full queue":         {ramp.Bound, 10, 10, 3 * time.Second, 2 * time.Second, false},
		"an open transaction, whatever is there": {ramp.Open, 10, 99, 0, 0, true},
	} {
		It("admits what it can serve in time, and says when to return: "+name, func() {
			r := ramp.New(time.Time{}, gateway(at(100), 10), at(99_000))
			r.Send(start, c.sent)
			wait, ok := r.Admit(at(100), c.work, c.queued, 1, c.maxWait)
			if name == "a full second and a full queue" {
				Expect(wait).To(Equal(2*time.Second), "no caller is told to stay away for longer")
				return
			}
			Expect(ok).To(Equal(c.ok))
			Expect(wait).To(Equal(c.wait))
		})
	}
})

// member is an instance of the model. Its rank is its index: the first registered one is the gateway.
type member struct {
	// registeredAt is when the present registration was written, or zero, and ends when it ends.
	registeredAt, ends time.Time
	revision           uint64
	// view is what the instance knows: the first holder and its own revision.
	first, own uint64
	confirmed  time.Time
	// cutOff is the time until which no message arrives.
	cutOff time.Time
	tenure ramp.Tenure
	ramp   *ramp.Ramp
	// used are the times of its starts, for the rule of shares.
	used []time.Time
}

// model is a fleet whose instances register, lose contact and end at random.
type model struct {
	rng *rand.Rand
	// loss is how often a second an instance loses contact.
	loss     float64
	limit    int
	members  []*member
	revision uint64
	sent     []time.Time
}

func (m *model) chance(perSecond float64) bool { return m.rng.Float64() < perSecond*stepSeconds }
func (m *model) upTo(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

const (
	step        = 10 * time.Millisecond
	stepSeconds = 0.01
	// lease is the least time for which a registration lasts.
	lease = 3500 * time.Millisecond
)

// firstAt returns the index of the first registered member plus one, or zero.
func (m *model) firstAt() uint64 {
	for i, one := range m.members {
		if !one.registeredAt.IsZero() {
			return uint64(i + 1)
		}
	}
	return 0
}

// advance changes registrations, and lets the instances learn of them.
func (m *model) advance(now time.Time) {
	for _, one := range m.members {
		switch {
		case one.registeredAt.IsZero() && m.chance(0.5):
			m.revision++
			one.registeredAt, one.ends, one.revision = now, now.Add(lease+m.upTo(20*time.Second)), m.revision
		case !one.registeredAt.IsZero() && now.After(one.ends):
			one.registeredAt, one.revision = time.Time{}, 0
		}
		if m.chance(m.loss) {
			one.cutOff = now.Add(m.upTo(6 * time.Second))
		}
		if now.After(one.cutOff) && m.chance(4) {
			// The answer may have been on its way, or held by a watcher, for a while. The state is
			// at least as recent as the confirmation says.
			one.first, one.own, one.confirmed = m.firstAt(), one.revision, now
			if m.chance(30) {
				one.cutOff = now.Add(m.upTo(2500 * time.Millisecond))
			}
		}
	}
}

// run lets every instance send as much as it may, at once or a little later, and returns the largest
// number that arrived in a second.
func (m *model) run(length time.Duration, send func(now time.Time, i uint64, one *member) int) int {
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		m.advance(now)
		for i, one := range m.members {
			for range send(now, uint64(i+1), one) {
				m.sent = append(m.sent, now)
			}
		}
	}
	most, from := 0, 0
	for i, t := range m.sent {
		for t.Sub(m.sent[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// newModel returns a model of six instances.
func newModel(s uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(s, 7)), loss: 0.1 + 0.4*float64(s%2), limit: 20}
	for range 6 {
		m.members = append(m.members, &member{ramp: ramp.New(time.Time{}, ramp.Claim{Limited: true, Max: m.limit}, start.Add(time.Hour))})
	}
	return m
}

// byTenure sends what Tenure and Ramp allow.
func (m *model) byTenure(now time.Time, i uint64, one *member) int {
	one.tenure.Observe(now, ramp.View{First: one.first == i && one.own != 0, Registration: one.own, Confirmed: one.confirmed})
	one.ramp.Update(now, one.tenure.Claim(m.limit, 0), start.Add(time.Hour))
	sent := 0
	for one.ramp.Allows(now, ramp.Open, 1) && m.rng.Float64() < 0.7 {
		one.ramp.Send(now, 1)
		sent++
	}
	return sent
}

// byShares sends up to a quarter of the limit while the gateway is new, and half of it later.
func (m *model) byShares(now time.Time, i uint64, one *member) int {
	one.tenure.Observe(now, ramp.View{First: one.first == i && one.own != 0, Registration: one.own, Confirmed: now})
	claim := one.tenure.Claim(m.limit, 0)
	share := 0
	switch held := now.Sub(claim.Since); {
	case !claim.First || held < time.Second:
	case held < 4*time.Second:
		share = m.limit / 4
	default:
		share = m.limit / 2
	}
	for len(one.used) > 0 && now.Sub(one.used[0]) >= time.Second {
		one.used = one.used[1:]
	}
	sent := 0
	for len(one.used) < share {
		one.used = append(one.used, now)
		sent++
	}
	return sent
}

var _ = Describe("Gateways that hand a cold server over at random, with messages lost", func() {
	const length = 4 * time.Minute

	It("never send more than the limit in any second together, and use it", func() {
		sent := 0
		for s := range uint64(20) {
			m := newModel(s)
			Expect(m.run(length, m.byTenure)).To(BeNumerically("<=", m.limit), "seed %d", s)
			sent += len(m.sent)
		}
		Expect(sent).To(BeNumerically(">", 20*20*int(length.Seconds())/10), "a tenth of what the limit allows, although gateways change every few seconds")
	})

	It("would exceed it if each new gateway used a quarter of the limit at once", func() {
		exceeded := 0
		for s := range uint64(60) {
			if m := newModel(s); m.run(length, m.byShares) > m.limit {
				exceeded++
			}
		}
		Expect(exceeded).To(BeNumerically(">", 0))
	})
})
