package keep_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/keep"
	"pomelofork/emul/seed"
)

func TestKeep(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keep", seed.Suite())
}

var start = time.Unix(1000, 0)

// A gateway that closed what was idle for longest closed the connections of accounts with a steady demand
// for those of accounts that came once.
var _ = Describe("Demand", func() {
	It("counts recent uses, which fade", func() {
		var d keep.Demand[string]
		Expect(d.Uses(start, "a")).To(BeZero())
		for range 4 {
			d.Use(start, "a")
		}
		d.Use(start.Add(10*time.Second), "b")
		Expect(d.Uses(start, "a")).To(BeNumerically("~", 4))
		Expect(d.Uses(start.Add(10*time.Second), "a")).To(BeNumerically(">", d.Uses(start.Add(10*time.Second), "b")))
		Expect(d.Uses(start.Add(30*time.Second), "a")).To(BeNumerically("<", 1))
	})

	It("forgets who doesn't return", func() {
		var d keep.Demand[int]
		for i := range 1000 {
			d.Use(start.Add(time.Duration(i)*time.Second), i)
		}
		Expect(d.Len()).To(BeNumerically("<", 200))
	})
})

// The load of a server that 74 accounts of very different rates use and that accepts 22 connections, in
// virtual time.
var _ = Describe("Connections of many accounts", func() {
	const accounts, limit, perSecond = 74, 22, 39
	// openings returns how many connections are opened in two minutes if the one with the least worth is
	// closed to make room.
	openings := func(worth func(d *keep.Demand[int], now, usedAt time.Time, account int) float64) int {
		random := rand.New(rand.NewPCG(5, 6))
		zipf := rand.NewZipf(random, 1.2, 4, accounts-1)
		var d keep.Demand[int]
		open, opened := map[int]time.Time{}, 0
		for now := start; now.Before(start.Add(2 * time.Minute)); now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
			account := int(zipf.Uint64())
			d.Use(now, account)
			if _, ok := open[account]; !ok {
				opened++
				if len(open) == limit {
					least := -1
					for other, usedAt := range open {
						if least < 0 || worth(&d, now, usedAt, other) < worth(&d, now, open[least], least) {
							least = other
						}
					}
					delete(open, least)
				}
			}
			open[account] = now
		}
		return opened
	}

	It("are opened less often if the account with the least demand loses its own", func() {
		byTime := openings(func(_ *keep.Demand[int], _, usedAt time.Time, _ int) float64 { return float64(usedAt.UnixNano()) })
		byDemand := openings(func(d *keep.Demand[int], now, _ time.Time, account int) float64 { return d.Uses(now, account) })
		GinkgoWriter.Println("by time of use", byTime, "by demand", byDemand)
		Expect(byDemand).To(BeNumerically("<", 0.9*float64(byTime)))
	})
})
