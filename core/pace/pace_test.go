package pace_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"pomelofork/core/pace"
)

// storeWrites and storeReads are the requests a second that the smallest known store
// accepts.
const (
	storeWrites = 400
	storeReads  = 2000
)

func TestRenewalsOfAFleetStayBelowTheStoresRate(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, size := range []int{1, 7, 83, 300, 783, 1000, 10_000} {
		lease := pace.MemberLease(size)
		rate := float64(size) / lease.RenewInterval.Seconds()
		g.Expect(rate).To(gomega.BeNumerically("<=", storeReads/5+1), "%d instances", size)
		g.Expect(lease.TTL).To(gomega.BeNumerically(">", 3*lease.RenewInterval))
	}
	g.Expect(pace.MemberLease(7)).To(gomega.Equal(pace.Lease{TTL: 9 * time.Second, RenewInterval: 2500 * time.Millisecond}))
	g.Expect(pace.MaxShortLeaseFleet / pace.HolderLease().RenewInterval.Seconds()).To(gomega.BeNumerically("<", storeReads/5))
}

func TestAGrownFleetNeedsLongerLeases(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(pace.MemberLease(7).RenewsTooOften(1000)).To(gomega.BeFalse())
	g.Expect(pace.MemberLease(7).RenewsTooOften(1600)).To(gomega.BeTrue())
	g.Expect(pace.MemberLease(2000).RenewsTooOften(2500)).To(gomega.BeFalse())
	g.Expect(pace.MemberLease(783).RenewsTooOften(7)).To(gomega.BeFalse())
}

// Simulates a fleet that starts at once and a store that serves its registrations in order.
// The instances start at even distances within the spread. An operator's change of the
// configuration would have to wait behind the registrations, so their longest delay is
// bounded. The cases without a spread show the delay that it prevents.
func TestAFleetThatStartsAtOnceLeavesRoomForTheOperator(t *testing.T) {
	cases := map[string]struct {
		size     int
		spread   time.Duration
		maxDelay time.Duration
		minDelay time.Duration
	}{
		"7 instances need no spread":  {7, pace.StartupSpread(7, storeWrites), 100 * time.Millisecond, 0},
		"66 instances need no spread": {66, pace.StartupSpread(66, storeWrites), 500 * time.Millisecond, 400 * time.Millisecond},
		"300 instances, spread":       {300, pace.StartupSpread(300, storeWrites), 100 * time.Millisecond, 0},
		"783 instances, spread":       {783, pace.StartupSpread(783, storeWrites), 100 * time.Millisecond, 0},
		"783 instances at once":       {783, 0, 10 * time.Second, 5 * time.Second},
		"300 instances at once":       {300, 0, 3 * time.Second, 2 * time.Second},
		"1000 instances at once":      {1000, 0, 10 * time.Second, 7 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const writesEach = 3
			freeAt, worst := time.Duration(0), time.Duration(0)
			for i := range c.size {
				at := c.spread * time.Duration(i) / time.Duration(c.size)
				worst = max(worst, freeAt-at)
				freeAt = max(freeAt, at) + writesEach*time.Second/storeWrites
			}
			g := gomega.NewWithT(t)
			g.Expect(worst).To(gomega.BeNumerically("<=", c.maxDelay))
			g.Expect(worst).To(gomega.BeNumerically(">=", c.minDelay))
		})
	}
}

func TestAStoreThatAcceptsMoreWritesIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(pace.StartupSpread(195, 3200)).To(gomega.BeNumerically("~", 366*time.Millisecond, 2*time.Millisecond))
	g.Expect(pace.StartupSpread(195, 0)).To(gomega.Equal(pace.StartupSpread(195, storeWrites)))
}

func TestCallsOfAFleetGrowLessThanItsSize(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(pace.WatchPause(7)).To(gomega.Equal(60 * time.Millisecond))
	g.Expect(pace.WatchPause(195)).To(gomega.BeNumerically(">", pace.WatchPause(83)))
	g.Expect(pace.WatchPause(10_000)).To(gomega.Equal(250 * time.Millisecond))
	for _, size := range []int{7, 83, 195, 1000} {
		g.Expect(float64(size)/pace.DirectInterval(size).Seconds()).To(gomega.BeNumerically("<=", 41), "%d instances", size)
	}
}

func TestASmallFleetRegistersAtOnce(t *testing.T) {
	gomega.NewWithT(t).Expect(pace.StartupSpread(7, storeWrites)).To(gomega.BeZero())
}

func TestExcessRights(t *testing.T) {
	cases := map[string]struct{ held, rights, instances, want int }{
		"a small fleet keeps all rights":                  {9, 9, 7, 0},
		"one of 300 instances holds all rights":           {1008, 1008, 300, 1004},
		"twice the fair share is kept":                    {8, 1008, 300, 0},
		"a single instance keeps all rights":              {1008, 1008, 1, 0},
		"no instance is known":                            {8, 8, 0, 0},
		"twice the fair share and the slack are kept":     {16, 1008, 300, 0},
		"one more than that is reduced to the fair share": {17, 1008, 300, 13},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(pace.ExcessRights(c.held, c.rights, c.instances)).To(gomega.Equal(c.want))
		})
	}
}
