package keep_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/keep"
)

// Where openings take little of the servers, reads that keep to one replica only cost traffic between
// failure domains.
var _ = Describe("The share of openings", func() {
	for name, c := range map[string]struct {
		openings, statements int
		work                 time.Duration
		scarce               bool
	}{
		"of many accounts and short statements": {7951, 27853, 8 * time.Millisecond, true},
		"of longer statements":                  {4776, 37569, 12 * time.Millisecond, false},
		"of the first connections":              {22, 0, 0, false},
	} {
		It("says whether connections are scarce: "+name, func() {
			var share keep.Share
			var scarcity keep.Scarcity
			now := start
			for i := range max(c.statements, c.openings) {
				now = now.Add(2 * time.Millisecond)
				if i < c.statements {
					share.Ran(now, c.work)
				}
				if c.statements == 0 || i*c.openings/c.statements != (i+1)*c.openings/c.statements {
					share.Opened(now, 12*time.Millisecond)
				}
			}
			scarce, _ := scarcity.Update(share.Value())
			Expect(scarce).To(Equal(c.scarce), "share %.2f", share.Value())
		})
	}

	It("changes the belief only beyond a margin", func() {
		var s keep.Scarcity
		var seen []bool
		for _, share := range []float64{0.12, 0.15, 0.12, 0.09, 0.08, 0.12} {
			scarce, _ := s.Update(share)
			seen = append(seen, scarce)
		}
		Expect(seen).To(Equal([]bool{false, true, true, true, false, false}))
	})
})
