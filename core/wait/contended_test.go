package wait_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
	"pomelofork/core/wait"
)

var _ = Describe("Queue where callers compete for the server", func() {
	const cost = 10 * time.Millisecond
	var queue *wait.Queue[int]
	BeforeEach(func() {
		queue = wait.NewWithPolicy[int](2, wait.Policy{Contended: true})
		queue.ObserveCost("c", cost)
	})
	of := func(account string, weight float64, value int) wait.Item[int] {
		i := item(value, time.Second)
		i.Account, i.Weight = model.AccountID(account), weight
		return i
	}
	add := func(i wait.Item[int]) bool {
		_, ok := queue.Add(start, i, 2)
		return ok
	}
	// serve runs the given number of items, of twice the expected cost if slow, and returns how
	// many each account had.
	serve := func(count int, slow model.AccountID) map[model.AccountID]int {
		served := map[model.AccountID]int{}
		for range count {
			i, ok := queue.Next(start, fitsAll)
			Expect(ok).To(BeTrue())
			served[i.Account]++
			took := cost
			if i.Account == slow {
				took = 2 * cost
			}
			queue.Ended(i, took)
		}
		return served
	}

	DescribeTable("shares the slot time that accounts really use by their weights, so that none crowds out another",
		func(weightA, weightB float64, slow model.AccountID, wantA int) {
			for i := range 40 {
				Expect(add(of("a", weightA, i))).To(BeTrue())
				Expect(add(of("b", weightB, i))).To(BeTrue())
			}
			Expect(serve(30, slow)["a"]).To(BeNumerically("~", wantA, 1))
		},
		Entry("equal weights", 1.0, 1.0, model.AccountID(""), 15),
		Entry("one weighs twice as much", 2.0, 1.0, model.AccountID(""), 20),
		Entry("one uses twice the expected slot time", 1.0, 1.0, model.AccountID("a"), 10),
		Entry("weights that are no positive numbers count as 1", math.NaN(), -3.0, model.AccountID(""), 15),
	)

	It("gives an unused share to others at once, and lets an account save up no more than its credit", func() {
		for i := range 40 {
			add(of("a", 1, i))
		}
		Expect(serve(20, "")).To(HaveKeyWithValue(model.AccountID("a"), 20))
		for i := range 40 {
			add(of("b", 1, i))
		}
		Expect(serve(28, "")["b"]).To(BeNumerically("~", 8+10, 1))
	})

	It("doesn't make a new account wait behind what another one has queued", func() {
		i := 0
		for i < 1000 && add(of("a", 1, i)) {
			i++
		}
		Expect(add(of("a", 1, i))).To(BeFalse())
		Expect(add(of("b", 1, i))).To(BeTrue())
		next, _ := queue.Next(start, fitsAll)
		Expect(next.Account).To(Equal(model.AccountID("a")), "the first one was waiting already")
		next, _ = queue.Next(start, fitsAll)
		Expect(next.Account).To(Equal(model.AccountID("b")))
	})

	DescribeTable("queues what gaps between more urgent items can serve in time, and refuses the rest on arrival",
		func(policy wait.Policy, want int) {
			queue = wait.NewWithPolicy[int](2, policy)
			queue.ObserveCost("c", cost)
			queue.ObserveCost("long", 55*time.Millisecond)
			free := []time.Duration{0, 0}
			waiting, late, accepted, served := 0, 0, 0, 0
			for now := time.Duration(0); now < 7*time.Second; now += time.Millisecond {
				running := 0
				for _, until := range free {
					if until > now {
						running++
					}
				}
				if now%(7*time.Millisecond) == 0 {
					// 143 items a second of 10 ms use 0.71 of the two slots.
					urgent := wait.Item[int]{Value: -1, Class: "c", Target: at(now + 200*time.Millisecond), Deadline: at(now + time.Second)}
					_, ok := queue.Add(at(now), urgent, running)
					Expect(ok).To(BeTrue())
				}
				if now == 3*time.Second {
					for range 60 {
						long := wait.Item[int]{Class: "long", Priority: 2, Target: at(now + 1500*time.Millisecond), Deadline: at(now + 3*time.Second)}
						if _, ok := queue.Add(at(now), long, 2); ok {
							accepted++
						}
					}
				}
				late += len(queue.RemoveUnservable(at(now)))
				for s := range free {
					if free[s] > now {
						continue
					}
					if i, ok := queue.Next(at(now), fitsAll); ok {
						took := queue.Cost(i.Class)
						queue.Ended(i, took)
						free[s] = now + took
						if i.Class == "long" {
							served++
							Expect(at(free[s])).NotTo(BeTemporally(">", i.Deadline))
						} else if at(free[s]).After(i.Target) {
							waiting++
						}
					}
				}
			}
			Expect(accepted).To(BeNumerically("~", want, 3))
			Expect(served + late).To(Equal(accepted))
			Expect(late).To(BeNumerically("<=", 3), "what is queued is served, but for what the mean misjudges")
			Expect(waiting).To(BeZero(), "the urgent items meet their target")
		},
		// 0.6 slots are left for 2.92 s, and without waiting in gaps for 1.82 s.
		Entry("in gaps", wait.Policy{Contended: true}, 32),
		Entry("up to soon after the target", wait.Policy{Contended: true, TargetWait: true}, 19),
	)

	It("tells refused callers times at which the slots that more urgent work leaves can serve them", func() {
		for now := time.Duration(0); now < 3*time.Second; now += 7 * time.Millisecond {
			urgent := wait.Item[int]{Class: "c", Target: at(now + 200*time.Millisecond), Deadline: at(now + time.Second)}
			_, ok := queue.Add(at(now), urgent, 1)
			Expect(ok).To(BeTrue())
			_, ok = queue.Next(at(now), fitsAll)
			Expect(ok).To(BeTrue())
		}
		const now = 3 * time.Second
		told, hopeless := map[time.Duration]time.Duration{}, 0
		for i := range 400 {
			refusal, ok := queue.Add(at(now), wait.Item[int]{Value: i, Class: "c", Priority: 1, Target: at(now + 100*time.Millisecond), Deadline: at(now + time.Second)}, 2)
			switch {
			case ok:
			case refusal.Hopeless:
				hopeless++
				Expect(refusal.RetryAfter).To(Equal(2*time.Second), "two timeouts")
			default:
				Expect(refusal.RetryAfter).To(BeNumerically("<", 2*time.Second))
				told[refusal.RetryAfter/time.Second] += cost
			}
		}
		Expect(hopeless).To(BeNumerically(">", 100))
		Expect(told).NotTo(BeEmpty())
		for _, work := range told {
			// 1.43 of the two slots are used by more urgent work.
			Expect(work).To(BeNumerically("<=", 570*time.Millisecond))
		}
	})

	It("queues within its limits of items and bytes, and drops what would be served last", func() {
		all := wait.NewWithPolicy[int](2, wait.Policy{Contended: true, AcceptAll: true})
		for i := range 5 {
			big := of("a", 1, i)
			big.Bytes = 600 << 10
			big.Target = at(time.Duration(5-i) * time.Second)
			_, ok := all.Add(start, big, 2)
			Expect(ok).To(BeTrue())
		}
		Expect(all.Len()).To(Equal(3))
		removed := all.RemoveUnservable(start)
		Expect(removed).To(HaveLen(2))
		Expect([]int{removed[0].Value, removed[1].Value}).To(Equal([]int{0, 1}), "those with the latest targets")
	})

	It("lets openings of connections go ahead after half of the time to the target, and for a part of the slots", func() {
		i := of("a", 1, 1)
		Expect(queue.OpeningDue(at(400*time.Millisecond), start, i)).To(BeFalse())
		Expect(queue.OpeningDue(at(500*time.Millisecond), start, i)).To(BeTrue())
		queue.ObserveOpening(at(500*time.Millisecond), 1, "a", 240*time.Millisecond)
		Expect(queue.OpeningDue(at(500*time.Millisecond), start, i)).To(BeFalse(), "a tenth of two slots is 200 ms in a second")
		Expect(queue.OpeningDue(at(700*time.Millisecond), start, i)).To(BeTrue())
		By("comparing the wait for the account's own connections with the opening")
		Expect(queue.WorthOpening("c", 1, 0)).To(BeTrue())
		Expect(queue.WorthOpening("c", 10, 1)).To(BeFalse(), "95 ms for the last of ten, 240 ms for the opening")
		Expect(queue.WorthOpening("c", 30, 1)).To(BeTrue())
	})

	It("estimates a longer wait for lower priorities", func() {
		for i := range 20 {
			urgent := of("a", 1, i)
			urgent.Priority = 0
			add(urgent)
			add(of("a", 1, i))
		}
		waits := queue.Waits(start, 2)
		Expect(waits).To(HaveLen(2))
		Expect(waits[0].Priority).To(Equal(0))
		Expect(waits[0].Wait).To(BeNumerically("~", 105*time.Millisecond, 5*time.Millisecond))
		Expect(waits[1].Wait).To(BeNumerically(">", 200*time.Millisecond))
		Expect(wait.New[int](2).Waits(start, 0)).To(Equal([]stmt.PriorityWait(nil)))
	})

	It("charges an account for openings at a priority beyond those that are told apart", func() {
		for i, account := range []string{"a", "b"} {
			low := of(account, 1, i)
			low.Priority = 100
			Expect(add(low)).To(BeTrue())
		}
		queue.ObserveOpening(start, 100, "a", cost)
		Expect(serve(1, "")).To(Equal(map[model.AccountID]int{"b": 1}))
	})

	It("gives every item back once, also one that made room and hasn't been refused yet", func() {
		big := of("a", 1, 1)
		big.Bytes = 1 << 21
		Expect(add(big)).To(BeTrue())
		urgent := of("b", 1, 3)
		urgent.InTransaction, urgent.Bytes = true, 1<<21
		Expect(add(urgent)).To(BeTrue())
		Expect([]int{queue.Len(), queue.Displaced()}).To(Equal([]int{1, 1}))
		seen := map[int]int{}
		queue.Remove(func(value int) bool { seen[value]++; return true })
		Expect(seen).To(Equal(map[int]int{1: 1, 3: 1}))
		Expect([]int{queue.Len(), queue.Displaced()}).To(Equal([]int{0, 0}))
		Expect(queue.RemoveAll()).To(BeEmpty())
		Expect(queue.RemoveUnservable(start)).To(BeEmpty())
	})
})
