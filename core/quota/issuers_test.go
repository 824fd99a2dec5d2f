package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pomelofork/core/quota"
	"pomelofork/emul/seed"
)

var _ = Describe("Issuers", func() {
	for name, c := range map[string]struct {
		perSecond float64
		want      int
	}{
		"a rate of 3 operations a second has one":                   {3, 1},
		"a rate of 8 operations a second has two":                   {8, 2},
		"a rate of 1000 operations a second has three, the maximum": {1000, 3},
		"a rate of zero has one":                                    {0, 1},
	} {
		It(name, func() { Expect(quota.IssuerCount(c.perSecond)).To(Equal(c.want)) })
	}

	It("divide a rate and a burst evenly", func() {
		perSecond, burst := quota.IssuerShare(90, 31)
		Expect(perSecond).To(BeNumerically("~", 30))
		Expect(burst).To(Equal(11.0))
	})

	It("are candidates from the first one on, without those marked empty or unreachable", func() {
		var s quota.IssuerStatus
		Expect(s.Candidates(start, 3, 1)).To(Equal([]int{1, 2, 0}))
		s.MarkEmpty(start, 1, second)
		s.MarkUnreachable(start, 2, second)
		Expect(s.Candidates(start, 3, 1)).To(Equal([]int{0}))
		Expect(s.Candidates(at(second), 3, 1)).To(Equal([]int{1, 2, 0}))
	})

	// An account whose rate had been zero was refused for good after the rate was raised.
	It("may all be asked again once the limits have changed", func() {
		var s quota.IssuerStatus
		s.SetLimits(0, 1)
		empty := quota.NewBucket(start, 0, 1).Draw(start, 1, 0, second)
		s.MarkEmpty(start, 0, empty.RetryAfter)
		s.SetLimits(0, 1)
		Expect(s.Candidates(at(time.Hour), 3, 0)).To(Equal([]int{1, 2}))
		s.SetLimits(50, 10)
		Expect(s.Candidates(at(second), 3, 0)).To(Equal([]int{0, 1, 2}))
	})

	It("are compared by NextAvailable, which returns the reachable one that has tokens first, and false if none is reachable", func() {
		var s quota.IssuerStatus
		s.MarkEmpty(start, 0, 3*second)
		s.MarkEmpty(start, 1, 2*second)
		s.MarkUnreachable(start, 2, second)
		issuer, wait, ok := s.NextAvailable(start, 3)
		Expect(ok).To(BeTrue())
		Expect(issuer).To(Equal(1))
		Expect(wait).To(Equal(2 * second))
		s.MarkUnreachable(start, 0, second)
		s.MarkUnreachable(start, 1, second)
		_, _, ok = s.NextAvailable(start, 3)
		Expect(ok).To(BeFalse())
	})
})

// spend takes a token from the cache, or draws one from the first issuer that grants it. It returns
// when the token is used, and false if there is none.
func spend(now time.Duration, c *quota.TokenCache, issuers []*quota.Bucket) (quota.Token, time.Duration, bool) {
	if token, ok := c.Spend(at(now)); ok {
		return token, now, true
	}
	for _, issuer := range issuers {
		if grant := issuer.Draw(at(now), 1, c.PrefetchCount(), 30*time.Millisecond); grant.Tokens > 0 {
			c.Add(at(now), grant.Tokens-1)
			return quota.DrawnToken(at(now + grant.Delay)), now + grant.Delay, true
		}
	}
	return quota.Token{}, 0, false
}

// TestRateHoldsOverIssuers does the same as TestRateHoldsOverHolders for a rate that several
// issuers share, each of which moves between holders independently.
func TestRateHoldsOverIssuers(t *testing.T) {
	if err := seed.Fix(); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(2, 80).Draw(t, "rate")
		whole := float64(rapid.IntRange(1, 120).Draw(t, "burst"))
		count := quota.IssuerCount(rate)
		perSecond, burst := quota.IssuerShare(rate, whole)
		caches := make([]quota.TokenCache, rapid.IntRange(1, 8).Draw(t, "entries"))
		var buckets [quota.MaxIssuers]*quota.Bucket
		moves := map[time.Duration]int{}
		for range rapid.IntRange(0, 12).Draw(t, "moves") {
			moves[time.Duration(rapid.IntRange(0, 2400).Draw(t, "move"))*5*time.Millisecond] = rapid.IntRange(0, count-1).Draw(t, "issuer")
		}
		for i := range count {
			buckets[i] = quota.NewBucket(start, perSecond, burst)
		}
		var used []time.Duration
		for now := time.Duration(0); now < 12*time.Second; now += 5 * time.Millisecond {
			if issuer, ok := moves[now]; ok {
				buckets[issuer] = quota.NewBucket(at(now), perSecond, burst)
			}
			c := &caches[int(now/(5*time.Millisecond))%len(caches)]
			if _, usedAt, ok := spend(now, c, buckets[:count]); ok {
				used = append(used, usedAt)
			}
		}
		checkWindows(t, used, rate, whole)
	})
}

// TestRateHoldsOverRestarts does the same for an account whose issuers all end at once, up to
// twice within one window, and start again after half a second with the tokens of a restart.
func TestRateHoldsOverRestarts(t *testing.T) {
	if err := seed.Fix(); err != nil {
		t.Fatal(err)
	}
	bounds := quota.Cap{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(2, 80).Draw(t, "rate")
		whole := float64(rapid.IntRange(1, 120).Draw(t, "burst"))
		count := quota.IssuerCount(rate)
		perSecond, burst := quota.IssuerShare(rate, whole)
		caches := make([]quota.TokenCache, rapid.IntRange(1, 8).Draw(t, "entries"))
		first := time.Duration(rapid.IntRange(0, 1600).Draw(t, "first")) * 5 * time.Millisecond
		second := first + time.Duration(rapid.IntRange(150, 600).Draw(t, "second"))*5*time.Millisecond
		const dark = 500 * time.Millisecond
		var buckets [quota.MaxIssuers]*quota.Bucket
		for i := range count {
			buckets[i] = quota.NewBucket(start, perSecond, burst)
		}
		var used []time.Duration
		for now := time.Duration(0); now < 12*time.Second; now += 5 * time.Millisecond {
			if (now >= first && now < first+dark) || (now >= second && now < second+dark) {
				clear(caches)
				continue
			}
			if now == first+dark || now == second+dark {
				for i := range count {
					buckets[i] = quota.NewRestartedBucket(at(now), perSecond, burst, bounds.RestartTokens(rate, whole))
				}
			}
			c := &caches[int(now/(5*time.Millisecond))%len(caches)]
			if _, usedAt, ok := spend(now, c, buckets[:count]); ok {
				used = append(used, usedAt)
			}
		}
		checkWindows(t, used, rate, whole)
	})
}

var _ = Describe("An account whose issuers restart after a loss of everything", func() {
	// serve sends the operations of half a second without instances and of the half second
	// after it, at the account's usual rate, and returns the fraction granted.
	serve := func(tokens int) float64 {
		const rate, usual = 13.0, 8
		bucket := quota.NewRestartedBucket(start, rate, 26, tokens)
		granted := 0
		for i := range usual {
			// The callers of the time before come back at once.
			now := time.Duration(max(i-usual/2, 0)) * second / usual
			if bucket.Draw(at(now), 1, 0, quota.MaxWait(1)).Tokens > 0 {
				granted++
			}
		}
		return float64(granted) / usual
	}

	It("gets most of the returning operations served with the tokens of a restart", func() {
		bounds := quota.Cap{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
		Expect(serve(3 * bounds.RestartTokens(13, 26))).To(Equal(1.0))
		Expect(serve(0)).To(BeNumerically("<", 0.7))
	})

	It("gets none if the bounds aren't known", func() {
		Expect(quota.Cap{}.RestartTokens(13, 26)).To(BeZero())
	})
})

var _ = Describe("An account that uses five eighths of its rate", func() {
	// serve sends ten seconds of the account's operations to count issuers. The holder of
	// issuer 0 does not answer from 3 s to 7 s. It returns the fraction of operations
	// rejected in that time.
	serve := func(count int) float64 {
		const rate = 64.0
		var s quota.IssuerStatus
		var buckets [quota.MaxIssuers]*quota.Bucket
		for i := range count {
			buckets[i] = quota.NewBucket(start, rate/float64(count), rate/float64(count))
		}
		asked, rejected := 0, 0
		for now := time.Duration(0); now < 10*second; now += second / 40 {
			unresponsive := now >= 3*second && now < 7*second
			granted := false
			for _, issuer := range s.Candidates(at(now), count, 0) {
				if unresponsive && issuer == 0 {
					s.MarkUnreachable(at(now), issuer, 350*time.Millisecond)
					continue
				}
				grant := buckets[issuer].Draw(at(now), 1, 0, 0)
				if granted = grant.Tokens > 0; granted {
					break
				}
				s.MarkEmpty(at(now), issuer, grant.RetryAfter)
			}
			if !granted && now >= 3*second {
				if issuer, wait, ok := s.NextAvailable(at(now), count); ok && wait <= quota.MaxWait(1) {
					granted = buckets[issuer].Draw(at(now), 1, 0, quota.MaxWait(1)).Tokens > 0
				}
			}
			if unresponsive {
				if asked++; !granted {
					rejected++
				}
			}
		}
		return float64(rejected) / float64(asked)
	}

	It("has every operation rejected while the holder of its only issuer is unresponsive", func() {
		Expect(serve(1)).To(Equal(1.0))
	})

	It("has at most 1% rejected while the holder of one of three issuers is unresponsive", func() {
		Expect(serve(3)).To(BeNumerically("<=", 0.01))
	})
})
