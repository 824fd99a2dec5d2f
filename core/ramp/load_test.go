package ramp_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/place"
	"pomelofork/core/plan"
	"pomelofork/core/ramp"
	"pomelofork/core/wait"
)

const (
	// slots is the number of statements that a server of the load runs at once, and warmWork and
	// coldWork are how long each takes.
	slots    = 4
	warmWork = 10 * time.Millisecond
	coldWork = 100 * time.Millisecond
	// coldRate is what a cold server can run in a second.
	coldRate = slots * float64(time.Second/coldWork)
	// target and timeout are those of the reads.
	target  = 150 * time.Millisecond
	timeout = 600 * time.Millisecond
	// loadStep is the step of the virtual time.
	loadStep = time.Millisecond / 2
)

// read is one read of the load.
type read struct {
	entry   int
	arrived time.Time
	sent    time.Time
	server  int
	refused [3]bool
}

// loaded is a server with the queue of its gateway.
type loaded struct {
	cold    bool
	queue   *wait.Queue[*read]
	running []*read
	ends    []time.Time
	ramp    *ramp.Ramp
	arrived []time.Time
}

func (s *loaded) work(rng *rand.Rand) time.Duration {
	work := warmWork
	if s.cold {
		work = coldWork
	}
	return time.Duration(float64(work) * (0.5 + rng.Float64()))
}

// joined is the load of two warm servers at full load, with a cold one that has just joined them.
// Three entries choose the server of each read by core/place.
type joined struct {
	rng     *rand.Rand
	ramped  bool
	servers [3]*loaded
	// known is what each entry knows of each server.
	known      [3][3]place.Candidate
	passedOver [3][3]time.Time
	// arrived, inTarget and answered count reads.
	arrived, inTarget, answered int
}

func newJoined(ramped bool) *joined {
	j := &joined{rng: rand.New(rand.NewPCG(3, 4)), ramped: ramped}
	limit := ramp.Limit{Factor: 1.25, Slack: 4}.Max(coldRate)
	for i := range j.servers {
		s := &loaded{cold: i == 2, queue: wait.New[*read](slots), ramp: ramp.New(time.Time{}, ramp.Claim{}, time.Time{})}
		if s.cold && ramped {
			claim := gateway(start, limit)
			claim.Confirmed = at(60_000)
			s.ramp = ramp.New(time.Time{}, claim, at(60_000))
		}
		j.servers[i] = s
		for e := range j.known {
			j.known[e][i] = place.Candidate{Server: plan.Server{Slots: slots}, SameDomain: true, Cold: s.cold && ramped, ColdInterval: time.Duration(float64(time.Second) / coldRate)}
		}
	}
	return j
}

// send places a read, and places it elsewhere if it is refused.
func (j *joined) send(now time.Time, r *read) {
	for {
		var candidates []place.Candidate
		var index []int
		for i, c := range j.known[r.entry] {
			if !r.refused[i] && !now.Before(j.passedOver[r.entry][i]) {
				candidates, index = append(candidates, c), append(index, i)
			}
		}
		chosen, ok := place.Choose(now, place.Requirement{}, candidates)
		if !ok {
			return
		}
		r.server, r.sent = index[chosen], now
		s, known := j.servers[r.server], &j.known[r.entry][r.server]
		after, admitted := s.ramp.Admit(now, ramp.Movable, s.queue.Len(), 1, target)
		if !admitted {
			j.passedOver[r.entry][r.server] = now.Add(after)
		} else {
			_, admitted = s.queue.Add(now, wait.Item[*read]{Value: r, Target: r.arrived.Add(target), Deadline: r.arrived.Add(timeout)}, len(s.running))
			known.Wait, known.WaitAt = s.queue.EstimateWait(len(s.running)), now
		}
		if admitted {
			known.InFlight++
			return
		}
		r.refused[r.server] = true
	}
}

// leave records that a read is no longer at its server.
func (j *joined) leave(r *read) { j.known[r.entry][r.server].InFlight-- }

// advance records the answers of a server that are due, and starts what can run.
func (j *joined) advance(now time.Time, i int) {
	s := j.servers[i]
	for k := len(s.running) - 1; k >= 0; k-- {
		if s.ends[k].After(now) {
			continue
		}
		r := s.running[k]
		s.running, s.ends = append(s.running[:k], s.running[k+1:]...), append(s.ends[:k], s.ends[k+1:]...)
		j.leave(r)
		known := &j.known[r.entry][i]
		known.Latency += (now.Sub(r.sent) - known.Latency) / 10
		known.LatencyAt, known.Wait, known.WaitAt = now, s.queue.EstimateWait(len(s.running)), now
		switch took := now.Sub(r.arrived); {
		case took <= target:
			j.inTarget++
			j.answered++
		case took <= timeout:
			j.answered++
		}
	}
	for _, item := range s.queue.RemoveUnservable(now) {
		j.leave(item.Value)
	}
	for len(s.running) < slots {
		item, ok := s.queue.Next(now, func(*read) bool { return s.ramp.Allows(now, ramp.Movable, 1) })
		if !ok {
			return
		}
		s.ramp.Send(now, 1)
		s.arrived = append(s.arrived, now)
		work := s.work(j.rng)
		s.queue.ObserveCost(item.Class, work)
		s.running, s.ends = append(s.running, item.Value), append(s.ends, now.Add(work))
	}
}

// run serves reads at the given rate for five seconds.
func (j *joined) run(perSecond float64) *joined {
	next := start
	for now := start; now.Before(at(5000)); now = now.Add(loadStep) {
		for ; !next.After(now); next = next.Add(time.Duration(j.rng.ExpFloat64() / perSecond * float64(time.Second))) {
			j.arrived++
			j.send(now, &read{entry: j.rng.IntN(3), arrived: now})
		}
		for i := range j.servers {
			j.advance(now, i)
		}
	}
	return j
}

var _ = Describe("A cold server that joins two warm ones at full load", func() {
	// The two warm servers alone run 800 reads a second.
	const full = 1.05 * 2 * slots * float64(time.Second/warmWork)
	with, without := newJoined(true).run(full), newJoined(false).run(full)

	It("gets no more than the limit in any second, and some work", func() {
		most, from := 0, 0
		arrived := with.servers[2].arrived
		for i, t := range arrived {
			for t.Sub(arrived[from]) >= time.Second {
				from++
			}
			most = max(most, i-from+1)
		}
		Expect(most).To(BeNumerically("<=", ramp.Limit{Factor: 1.25, Slack: 4}.Max(coldRate)))
	})

	It("leaves at least as many reads in time as without a ramp", func() {
		GinkgoWriter.Println("in target with", with.inTarget, "without", without.inTarget, "of", with.arrived, without.arrived, "answered", with.answered, without.answered, "at the cold server", len(with.servers[2].arrived), len(without.servers[2].arrived))
		Expect(float64(with.inTarget) / float64(with.arrived)).To(BeNumerically(">=", float64(without.inTarget)/float64(without.arrived)))
	})
})
