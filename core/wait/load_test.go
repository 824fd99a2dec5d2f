package wait_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/wait"
)

const (
	// tick is the step of the simulated time.
	tick = time.Millisecond / 2
	// maxReturns is the number of times that a refused caller returns.
	maxReturns = 2
)

// class is one class of statements of a load: statements a second, work, limits and worth.
type class struct {
	perSecond                       float64
	cost, target, timeout, giveUpAt time.Duration
	priority                        int
	// worth and late are the value of an answer within its target, and after it but before the
	// caller gives up.
	worth, late float64
}

// load is what the accounts send to one server up to length. The simulation stops at end.
type load struct {
	slots       int
	classes     []class
	weights     []float64
	factor      func(class, account int, now time.Duration) float64
	length, end time.Duration
	noReturn    bool
}

// call is one operation of a caller. It is answered at ended, if that isn't zero.
type call struct {
	class, account, returns int
	at, cost, ended         time.Duration
}

// outcome is the result of serving a load by a policy.
type outcome struct {
	load
	calls   []*call
	refused int
	// dropped is the number of statements that left the queue unserved, droppedWait the sum of their
	// waits, and droppedPart the sum of the parts of their timeout for which they had waited.
	dropped     int
	droppedWait time.Duration
	droppedPart float64
}

// generate returns the calls of the load by tick, the same for the same seed.
func (l load) generate(seed uint64) [][]*call {
	rng := rand.New(rand.NewPCG(seed, 2))
	calls := make([][]*call, l.end/tick+1)
	for class, c := range l.classes {
		for account, weight := range l.weights {
			for now := time.Duration(0); now < l.length; {
				rate := c.perSecond * weight * l.factor(class, account, now)
				if now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)); now >= l.length {
					break
				}
				cost := time.Duration(float64(c.cost) * (0.5 + rng.Float64()))
				calls[now/tick] = append(calls[now/tick], &call{class: class, account: account, at: now, cost: cost})
			}
		}
	}
	return calls
}

// serve serves the load by a policy. Callers that are refused return when they are told to. Without
// drop, statements are dropped only when their timeout has expired.
func (l load) serve(seed uint64, policy wait.Policy, drop bool) *outcome {
	o, calls := &outcome{load: l}, l.generate(seed)
	queue := wait.NewWithPolicy[*call](l.slots, policy)
	var running []wait.Item[*call]
	for step := range calls {
		now := time.Duration(step) * tick
		refuse := func(c *call, after time.Duration) {
			o.refused++
			back := max(now+after, now+tick)
			if c.returns++; !l.noReturn && c.returns <= maxReturns && back < c.at+l.classes[c.class].giveUpAt && back < l.end {
				calls[back/tick] = append(calls[back/tick], c)
			}
		}
		running = slices.DeleteFunc(running, func(i wait.Item[*call]) bool {
			if i.Value.ended > now {
				return false
			}
			queue.ObserveCost(i.Class, i.Value.cost)
			queue.Ended(i, i.Value.cost)
			return true
		})
		for _, c := range calls[step] {
			class := l.classes[c.class]
			if c.returns == 0 {
				o.calls = append(o.calls, c)
			}
			refusal, ok := queue.Add(at(now), wait.Item[*call]{
				Value: c, Class: fmt.Sprint(c.class), Priority: class.priority, Target: at(now + class.target), Deadline: at(now + class.timeout),
				Account: model.AccountID(fmt.Sprint(c.account)), Weight: l.weights[c.account],
			}, len(running))
			if !ok {
				refuse(c, refusal.RetryAfter)
			}
		}
		if drop {
			for _, item := range queue.RemoveUnservable(at(now)) {
				timeout := l.classes[item.Value.class].timeout
				waited := timeout - item.Deadline.Sub(at(now))
				o.dropped++
				o.droppedWait += waited
				o.droppedPart += waited.Seconds() / timeout.Seconds()
				refuse(item.Value, queue.RefusalOf(at(now), item, len(running)).RetryAfter)
			}
		}
		for len(running) < l.slots {
			item, ok := queue.Next(at(now), func(*call) bool { return true })
			if !ok {
				break
			}
			if !drop && at(now).After(item.Deadline) {
				refuse(item.Value, 100*time.Millisecond)
				continue
			}
			item.Value.ended = now + item.Value.cost
			running = append(running, item)
		}
	}
	return o
}

// worth returns what a call earned.
func (l load) worth(c *call) float64 {
	class := l.classes[c.class]
	switch took := c.ended - c.at; {
	case c.ended == 0 || c.ended > l.end || took > class.giveUpAt:
		return 0
	case took > class.target:
		return class.late
	}
	return class.worth
}

// earned returns the part of the offered worth that was earned, in total and by class.
func (o *outcome) earned() (total float64, byClass []float64) {
	earned, offered := make([]float64, len(o.classes)), make([]float64, len(o.classes))
	sumEarned, sumOffered := 0.0, 0.0
	for _, c := range o.calls {
		earned[c.class] += o.worth(c)
		offered[c.class] += o.classes[c.class].worth
		sumEarned, sumOffered = sumEarned+o.worth(c), sumOffered+o.classes[c.class].worth
	}
	for class := range earned {
		earned[class] /= offered[class]
	}
	return sumEarned / sumOffered, earned
}

// inTarget returns the part of the calls of each class that were answered within their target.
func (o *outcome) inTarget() []float64 {
	met, all := make([]float64, len(o.classes)), make([]float64, len(o.classes))
	for _, c := range o.calls {
		all[c.class]++
		if c.ended > 0 && c.ended-c.at <= o.classes[c.class].target {
			met[c.class]++
		}
	}
	for class := range met {
		met[class] /= all[class]
	}
	return met
}

// lagging is the load on a primary with two slots while its replicas lag: all reads of the
// service, about one and a half times what the slots can serve.
var lagging = load{
	slots: 2, weights: []float64{1}, factor: func(int, int, time.Duration) float64 { return 1 },
	length: 8 * time.Second, end: 20 * time.Second, noReturn: true,
	classes: []class{
		{18, 4500 * time.Microsecond, 120 * time.Millisecond, 800 * time.Millisecond, 800 * time.Millisecond, 1, 2, 0.6},
		{25, 22 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, 1500 * time.Millisecond, 2, 1, 0.3},
		{150, 14 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond, 800 * time.Millisecond, 2, 2, 0.3},
	},
}

var _ = Describe("Queue under the reads of a service whose replicas lag", func() {
	It("earns twice what first come first served does, meets the first targets, drops early and starves no class", func() {
		o := lagging.serve(1, wait.Policy{}, true)
		byTarget, _ := o.earned()
		fifo, _ := lagging.serve(1, wait.Policy{ArrivalOrder: true, AcceptAll: true}, false).earned()
		Expect(byTarget).To(BeNumerically(">=", 2*fifo), "earned part of the worth")
		inTarget := o.inTarget()
		Expect(inTarget[0]).To(BeNumerically(">=", 0.99), "the first priority is served within its target")
		// Half of the shortest time to a deadline in this load.
		Expect(o.droppedWait/time.Duration(max(o.dropped, 1))).To(BeNumerically("<=", 400*time.Millisecond), "mean wait of dropped statements")
		Expect(inTarget).To(HaveEach(BeNumerically(">=", 0.1)), "no class starves")
	})
})
