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

// The replayed load: all reads of a service on one server with 6 slots. In the second phase account
// 0 sends six times its usual load, in the third all send 3.5 times the usual lookups.
const (
	replaySlots, replayAccounts, replayLarge = 6, 71, 5
	replayTick                               = time.Millisecond / 2
	replayLength, replayEnd                  = 25 * time.Second, 35 * time.Second
	noisyFrom, surgeFrom                     = 5 * time.Second, 15 * time.Second
	noisyFactor, surgeFactor                 = 6, 3.5
	replayReturns                            = 2
)

// replayClasses are the routes by priority: statements a second, work, limits and worth of an answer.
var replayClasses = []struct {
	perSecond                       float64
	cost, target, timeout, giveUpAt time.Duration
	worth, late                     float64
}{
	{180, 11 * time.Millisecond, 200 * time.Millisecond, time.Second, 2 * time.Second, 3.5, 0.71},
	{45, 33 * time.Millisecond, 400 * time.Millisecond, time.Second, 2 * time.Second, 1.9, 0.47},
	{25, 55 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 8 * time.Second, 0.47, 0.35},
}

// call is one operation of a caller.
type call struct {
	class, account, returns int
	at, cost                time.Duration
}

// usual returns the part of the usual load that an account sends.
func usual(account int) float64 {
	if account < replayLarge {
		return []float64{0.2, 0.1, 0.08, 0.06, 0.06}[account]
	}
	return 0.5 / (replayAccounts - replayLarge)
}

// replayCalls generates the calls by tick, the same for the same seed.
func replayCalls(seed uint64) [][]*call {
	rng := rand.New(rand.NewPCG(seed, 2))
	calls := make([][]*call, replayEnd/replayTick+1)
	for class, c := range replayClasses {
		for account := range replayAccounts {
			for now := time.Duration(0); now < replayLength; {
				rate := c.perSecond * usual(account)
				if account == 0 && now >= noisyFrom && now < surgeFrom {
					rate *= noisyFactor
				}
				if class == 0 && now >= surgeFrom {
					rate *= surgeFactor
				}
				if now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)); now >= replayLength {
					break
				}
				cost := time.Duration(float64(c.cost) * (0.5 + rng.Float64()))
				calls[now/replayTick] = append(calls[now/replayTick], &call{class: class, account: account, at: now, cost: cost})
			}
		}
	}
	return calls
}

// replayed is the outcome of a replay.
type replayed struct {
	// earned and offered are the worth by class.
	earned, offered [3]float64
	refused         int
	// dropped is the number of statements that left the queue unserved, and droppedWait the sum of
	// the parts of their timeout for which they had waited.
	dropped, droppedWait float64
	// asked and got are the slot seconds by contest and account: of all calls, and of those that
	// were answered.
	asked, got [2][replayAccounts]float64
}

// contest returns the time in which accounts compete that the call belongs to: 0 while account 0
// sends more than usual, for the priorities that the slots can serve then, 1 for the lookups of the
// surge, or false for neither.
func (c *call) contest() (int, bool) {
	if c.at >= surgeFrom {
		return 1, c.class == 0
	}
	return 0, c.at >= noisyFrom && c.class <= 1
}

// earn records a call that was answered with the given worth, and offer a new one.
func (o *replayed) earn(c *call, worth float64) {
	o.earned[c.class] += worth
	if contest, ok := c.contest(); ok && worth > 0 {
		o.got[contest][c.account] += c.cost.Seconds()
	}
}

func (o *replayed) offer(c *call, worth float64) {
	o.offered[c.class] += worth
	if contest, ok := c.contest(); ok {
		o.asked[contest][c.account] += c.cost.Seconds()
	}
}

// total returns the part of the offered worth that was earned.
func (o *replayed) total() float64 {
	return (o.earned[0] + o.earned[1] + o.earned[2]) / (o.offered[0] + o.offered[1] + o.offered[2])
}

// shares returns the part of its share in a contest that the worst-served account got, and the mean
// over accounts, but for account 0. The share is the max-min fair one by weight, and at most what
// the account asked.
func (o *replayed) shares(contest int) (worst, mean float64) {
	low, high := 0.0, 1e6
	for range 60 {
		level, sum := (low+high)/2, 0.0
		for account, asked := range o.asked[contest] {
			sum += min(asked, level*usual(account))
		}
		if sum > replaySlots*10 {
			high = level
		} else {
			low = level
		}
	}
	worst = 1
	for account := 1; account < replayAccounts; account++ {
		part := o.got[contest][account] / min(o.asked[contest][account], low*usual(account))
		worst, mean = min(worst, part), mean+part/(replayAccounts-1)
	}
	return worst, mean
}

// replay serves the load by a policy. Callers that are refused return when they are told to.
// Without drop, statements are dropped only when their timeout has expired.
func replay(seed uint64, policy wait.Policy, drop bool) *replayed {
	o, calls := &replayed{}, replayCalls(seed)
	queue := wait.NewWithPolicy[*call](replaySlots, policy)
	type run struct {
		item wait.Item[*call]
		ends time.Duration
	}
	var running []run
	fits := func(*call) bool { return true }
	for tick := range calls {
		now := time.Duration(tick) * replayTick
		refuse := func(c *call, after time.Duration) {
			o.refused++
			back := max(now+after, now+replayTick)
			if c.returns++; c.returns <= replayReturns && back < c.at+replayClasses[c.class].giveUpAt && back < replayEnd {
				calls[back/replayTick] = append(calls[back/replayTick], c)
			}
		}
		running = slices.DeleteFunc(running, func(r run) bool {
			if r.ends > now {
				return false
			}
			c := r.item.Value
			class := replayClasses[c.class]
			queue.ObserveCost(r.item.Class, c.cost)
			queue.Ended(r.item, c.cost)
			worth := 0.0
			switch took := r.ends - c.at; {
			case took <= class.target:
				worth = class.worth
			case took <= class.giveUpAt:
				worth = class.late
			}
			o.earn(c, worth)
			return true
		})
		for _, c := range calls[tick] {
			class := replayClasses[c.class]
			if c.returns == 0 {
				o.offer(c, class.worth)
			}
			refusal, ok := queue.Add(at(now), wait.Item[*call]{
				Value: c, Class: fmt.Sprint(c.class), Priority: c.class, Target: at(now + class.target), Deadline: at(now + class.timeout),
				Account: model.AccountID(fmt.Sprint(c.account)), Weight: usual(c.account),
			}, len(running))
			if !ok {
				refuse(c, refusal.RetryAfter)
			}
		}
		if drop {
			for _, item := range queue.RemoveUnservable(at(now)) {
				o.dropped++
				o.droppedWait += 1 - item.Deadline.Sub(at(now)).Seconds()/replayClasses[item.Value.class].timeout.Seconds()
				refuse(item.Value, queue.RefusalOf(at(now), item, len(running)).RetryAfter)
			}
		}
		for len(running) < replaySlots {
			item, ok := queue.Next(at(now), fits)
			if !ok {
				break
			}
			if !drop && at(now).After(item.Deadline) {
				refuse(item.Value, 100*time.Millisecond)
				continue
			}
			running = append(running, run{item, now + item.Value.cost})
		}
	}
	return o
}

var _ = Describe("Queue under the observed load of callers that compete for a server", func() {
	for seed := range uint64(3) {
		// The constants were chosen with other seeds.
		seed += 11
		It(fmt.Sprintf("earns more than without its mechanisms, and gives accounts their shares, seed %d", seed), func() {
			outcomes := map[string]*replayed{}
			for name, policy := range map[string]wait.Policy{
				"contended": {Contended: true}, "by_target": {}, "no_shares": {Contended: true, EqualAccounts: true},
				"no_line": {Contended: true, EqualReturn: true}, "arrival_order": {ArrivalOrder: true, AcceptAll: true},
			} {
				o := replay(seed, policy, name != "arrival_order")
				outcomes[name] = o
				noisyWorst, noisyMean := o.shares(0)
				surgeWorst, surgeMean := o.shares(1)
				AddReportEntry(name, fmt.Sprintf("earned %.3f, by class %.3f %.3f %.3f, part of the share beside account 0: worst %.2f mean %.2f, in the surge: worst %.2f mean %.2f, refused %d",
					o.total(), o.earned[0]/o.offered[0], o.earned[1]/o.offered[1], o.earned[2]/o.offered[2], noisyWorst, noisyMean, surgeWorst, surgeMean, o.refused), ReportEntryVisibilityFailureOrVerbose)
			}
			o := outcomes["contended"]
			Expect(o.total()).To(BeNumerically(">", outcomes["by_target"].total()+0.01))
			Expect(o.total()).To(BeNumerically(">", 3*outcomes["arrival_order"].total()))
			Expect(o.refused).To(BeNumerically("<", outcomes["no_line"].refused*3/4))
			Expect(o.droppedWait/o.dropped).To(BeNumerically("<", 0.4), "what can't be served leaves long before its timeout")
			worst, mean := o.shares(0)
			Expect(worst).To(BeNumerically(">=", 0.9), "accounts at their usual load beside one at six times its own")
			Expect(mean).To(BeNumerically(">=", 0.98))
			_, mean = outcomes["no_shares"].shares(0)
			Expect(mean).To(BeNumerically("<", 0.9), "the replay must be one in which shares count")
			// An account with some 50 lookups in the surge may ask more than its share for a moment.
			worst, mean = o.shares(1)
			Expect(worst).To(BeNumerically(">=", 0.6))
			Expect(mean).To(BeNumerically(">=", 0.95))
		})
	}
})
