package fresh_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pomelofork/core/fresh"
	"pomelofork/core/model"
	"pomelofork/emul/seed"
)

func TestFresh(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fresh", seed.Suite())
}

var start = time.Unix(1_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("History", func() {
	It("returns the oldest point that is recent enough", func() {
		var h fresh.History
		for i := range 10 {
			h.Add(at(100*i), model.NewPoint(1, model.Position(i+1)))
		}
		point, ok := h.OldestCovering(at(450))
		Expect(ok).To(BeTrue())
		Expect(point).To(Equal(model.NewPoint(1, 6)))
		_, ok = h.OldestCovering(at(901))
		Expect(ok).To(BeFalse())
	})

	It("keeps the newest of observations in quick succession", func() {
		var h fresh.History
		for i := range 40 {
			h.Add(at(i), model.NewPoint(1, model.Position(i+1)))
		}
		when, point, ok := h.Newest()
		Expect(ok).To(BeTrue())
		Expect(when).To(Equal(at(39)))
		Expect(point).To(Equal(model.NewPoint(1, 40)))
	})

	It("ignores observations that are older than the newest", func() {
		var h fresh.History
		h.Add(at(100), model.NewPoint(1, 5))
		h.Add(at(50), model.NewPoint(1, 9))
		_, point, _ := h.Newest()
		Expect(point).To(Equal(model.NewPoint(1, 5)))
	})

	It("returns no point while it is empty", func() {
		var h fresh.History
		_, ok := h.OldestCovering(at(0))
		Expect(ok).To(BeFalse())
	})
})

// TestPointCoversWhatWasAcknowledged draws random commits and observations, and
// checks that the point returned for a time covers each commit acknowledged before
// that time.
func TestPointCoversWhatWasAcknowledged(t *testing.T) {
	if err := seed.Fix(); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		var h fresh.History
		type commit struct {
			at    time.Time
			point model.Point
		}
		var commits []commit
		now, pos := 0, model.Position(0)
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			now += rapid.IntRange(1, 90).Draw(t, "gap")
			if rapid.Bool().Draw(t, "commits") {
				pos++
				commits = append(commits, commit{at(now), model.NewPoint(1, pos)})
				continue
			}
			h.Add(at(now), model.NewPoint(1, pos))
		}
		since := at(rapid.IntRange(0, now).Draw(t, "since"))
		point, ok := h.OldestCovering(since)
		if !ok {
			return
		}
		for _, c := range commits {
			if c.at.Before(since) && point.Less(c.point) {
				t.Fatalf("commit %s of %s is not covered by %s since %s", c.point, c.at, point, since)
			}
		}
	})
}

var _ = Describe("History by log points", func() {
	It("tells until when a log covers the commits, and when a point was reached", func() {
		var h fresh.History
		for i := range 3 {
			h.Add(at(100*i), model.NewPoint(1, model.Position(10*i+10)))
		}
		for position, want := range map[int][2]int{5: {-1, 0}, 10: {0, 0}, 15: {0, 100}, 30: {200, 200}, 35: {200, -1}} {
			for i, ask := range []func(model.Point) (time.Time, bool){h.CoveredUntil, h.ReachedAt} {
				when, ok := ask(model.NewPoint(1, model.Position(position)))
				Expect(ok).To(Equal(want[i] >= 0), "%d", position)
				if ok {
					Expect(when).To(Equal(at(want[i])), "%d", position)
				}
			}
		}
	})
})
