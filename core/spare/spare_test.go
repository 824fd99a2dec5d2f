package spare_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/spare"
	"pomelofork/emul/seed"
)

func TestSpare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spare", seed.Suite())
}

var start = time.Unix(1_000, 0)

// read returns a read of 100 ms work.
func read(name string, priority int, target, timeout time.Duration) spare.Read[string] {
	return spare.Read[string]{Value: name, Priority: priority, Work: 100 * time.Millisecond, Target: start.Add(target), Deadline: start.Add(timeout)}
}

var _ = Describe("Room", func() {
	var room *spare.Room[string]
	BeforeEach(func() { room = spare.New[string](2) })
	add := func(r spare.Read[string]) bool {
		_, ok := room.Add(start, r)
		return ok
	}

	It("lets own work of the same priority go first, and returns reads by priority, time left and target", func() {
		Expect(add(read("low", 2, time.Second, 3*time.Second))).To(BeTrue())
		Expect(add(read("late", 1, 50*time.Millisecond, time.Second))).To(BeTrue())
		Expect(add(read("second", 1, 300*time.Millisecond, time.Second))).To(BeTrue())
		Expect(add(read("first", 1, 200*time.Millisecond, time.Second))).To(BeTrue())
		_, ok := room.Next(start, 1)
		Expect(ok).To(BeFalse())
		var order []string
		for r, ok := room.Next(start, 2); ok; r, ok = room.Next(start, 2) {
			order = append(order, r.Value)
		}
		Expect(order).To(Equal([]string{"first", "second", "late"}))
		r, ok := room.Next(start, math.MaxInt)
		Expect(ok).To(BeTrue())
		Expect(r.Value).To(Equal("low"))
	})

	It("refuses what can't start in time, and spreads the callers that it refuses", func() {
		accepted := 0
		for add(read("r", 1, 400*time.Millisecond, time.Second)) {
			accepted++
		}
		// Two slots serve 20 reads of 100 ms in a second, less the part that is left for the work.
		Expect(accepted).To(Equal(17))
		var afters []time.Duration
		for range 3 {
			after, ok := room.Add(start, read("r", 1, 400*time.Millisecond, time.Second))
			Expect(ok).To(BeFalse())
			afters = append(afters, after)
		}
		Expect(afters[1] - afters[0]).To(Equal(50 * time.Millisecond))
		Expect(afters[2] - afters[1]).To(Equal(50 * time.Millisecond))
		By("still taking more urgent ones")
		Expect(add(read("u", 0, 200*time.Millisecond, time.Second))).To(BeTrue())
	})

	It("shares what is left among accounts by their weights", func() {
		for account, weight := range map[model.AccountID]float64{"small": 1, "large": 3} {
			for range 8 {
				r := read(string(account), 1, time.Second, 3*time.Second)
				r.Account, r.Weight = account, weight
				Expect(add(r)).To(BeTrue())
			}
		}
		taken := map[string]int{}
		for range 8 {
			r, _ := room.Next(start, 2)
			taken[r.Value]++
		}
		Expect(taken["large"]).To(Equal(6))
	})

	It("gives up reads whose time is over, and those of callers that have left", func() {
		add(read("r", 1, 400*time.Millisecond, time.Second))
		add(read("s", 1, 400*time.Millisecond, 2*time.Second))
		Expect(room.RemoveUnservable(start.Add(800 * time.Millisecond))).To(BeEmpty())
		Expect(room.RemoveUnservable(start.Add(900 * time.Millisecond))).To(HaveLen(1))
		Expect(room.Remove(func(v string) bool { return v == "s" })).To(HaveLen(1))
		Expect(room.Len()).To(BeZero())
	})
})
