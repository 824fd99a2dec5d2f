package proxy

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/io/clock"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

// After a loss of all instances each of them got the whole content on its own, from few watchers.
var _ = Describe("The packed content for followers", func() {
	revision := store.Revision(1, 7)
	for name, c := range map[string]struct {
		after time.Duration
		era   uint64
		found bool
	}{
		"is shared by those who ask within a moment": {contentLife - time.Millisecond, 1, true},
		"is made again after that":                   {contentLife, 1, false},
		"isn't sent in a later era of the store":     {0, 2, false},
	} {
		It(name+", with its true age", func() {
			var cache contentCache
			now := clock.Now()
			Expect(cache.pack(now, view.Update{All: true, Revision: revision, Age: time.Second}, []store.Entry{{Key: "k", Value: []byte("v")}}, slog.New(slog.DiscardHandler)).Packed).NotTo(BeEmpty())
			answer, found := cache.recent(now.Add(c.after), c.era)
			Expect(found).To(Equal(c.found))
			if found {
				Expect(answer.Revision).To(Equal(revision))
				Expect(answer.Age).To(Equal(time.Second + c.after))
			}
		})
	}
})
