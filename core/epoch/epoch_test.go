package epoch_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/epoch"
	"pomelofork/core/model"
	"pomelofork/emul/seed"
)

func TestEpoch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "epoch", seed.Suite())
}

var start = time.Unix(1000, 0)

var _ = Describe("Guard", func() {
	// permit is in force for a long time and has a copy of the store's content as of start.
	permit := epoch.Permit{Confirmed: start, Registered: start.Add(-time.Minute), ValidUntil: start.Add(time.Hour), Life: epoch.PermitLife}
	with := func(change func(*epoch.Permit)) epoch.Permit {
		p := permit
		change(&p)
		return p
	}
	for name, c := range map[string]struct {
		raised, requested uint64
		age               time.Duration
		permit            epoch.Permit
		allowed           bool
	}{
		"the epoch that is known":              {4, 4, 0, permit, true},
		"a newer epoch than is known":          {4, 5, 0, permit, true},
		"an epoch that was withdrawn":          {4, 3, 0, permit, false},
		"no appointment yet":                   {0, 0, time.Second, permit, true},
		"a copy that is almost too old":        {4, 4, epoch.PermitLife - 1, permit, true},
		"a copy that is too old":               {4, 4, epoch.PermitLife, permit, false},
		"a copy too old for a short permit":    {4, 4, epoch.ShortPermitLife, with(func(p *epoch.Permit) { p.Life = epoch.ShortPermitLife }), false},
		"a permit without a life":              {4, 4, 0, with(func(p *epoch.Permit) { p.Life = 0 }), false},
		"a newer epoch but a copy of long ago": {4, 5, time.Minute, permit, false},
		"a registration that may have ended":   {4, 4, time.Second, with(func(p *epoch.Permit) { p.ValidUntil = start.Add(time.Second) }), false},
		"a copy from before a gap":             {4, 4, time.Second, with(func(p *epoch.Permit) { p.Registered = start.Add(1) }), false},
		"no registration":                      {0, 0, 0, epoch.Permit{Confirmed: start}, false},
	} {
		It("decides by epoch, age of the copy and registration: "+name, func() {
			var g epoch.Guard
			g.Raise(c.raised)
			Expect(g.Allows(start.Add(c.age), c.permit, c.requested)).To(Equal(c.allowed))
		})
	}

	It("never forgets a higher epoch", func() {
		var g epoch.Guard
		Expect(g.Raise(7)).To(BeTrue())
		Expect(g.Raise(7)).To(BeFalse())
		Expect(g.Raise(3)).To(BeFalse())
		Expect(g.Allows(start, permit, 6)).To(BeFalse())
	})
})

var _ = Describe("Withdrawal", func() {
	ids := map[model.InstanceID]time.Duration{"a": epoch.PermitLife, "b": epoch.PermitLife, "c": epoch.ShortPermitLife}
	after := start.Add(time.Millisecond)

	It("ends when every instance that may use the primary has stopped", func() {
		w := epoch.NewWithdrawal(start)
		w.Observe(true, ids)
		w.Stopped("b")
		w.Stopped("unknown")
		Expect(w.Pending()).To(Equal([]model.InstanceID{"a", "c"}))
		Expect(w.Left(start.Add(time.Second))).To(Equal(epoch.PermitLife + epoch.ClockSlack - time.Second))
		w.Stopped("a")
		w.Stopped("c")
		Expect(w.Left(after)).To(BeZero())
	})

	It("ends when no permit can be left", func() {
		w := epoch.NewWithdrawal(start)
		w.Observe(true, ids)
		Expect(w.Left(start.Add(epoch.PermitLife + epoch.ClockSlack))).To(BeZero())
	})

	It("counts instances as stopped whose registration has ended", func() {
		w := epoch.NewWithdrawal(start)
		w.Observe(true, ids)
		w.Stopped("a")
		w.Observe(true, map[model.InstanceID]time.Duration{"a": epoch.PermitLife})
		Expect(w.Left(after)).To(BeZero())
	})

	It("doesn't end by what was known before it was written", func() {
		w := epoch.NewWithdrawal(start)
		w.Observe(false, nil)
		Expect(w.Left(after)).NotTo(BeZero())
		w.Observe(true, ids)
		Expect(w.Pending()).To(Equal([]model.InstanceID{"a", "b", "c"}))
	})

	It("waits for the permits of those that are pending, and for the longest until all are known", func() {
		w := epoch.NewWithdrawal(start)
		w.Observe(false, map[model.InstanceID]time.Duration{"c": epoch.ShortPermitLife})
		Expect(w.Left(start)).To(Equal(epoch.PermitLife + epoch.ClockSlack))
		w.Observe(true, ids)
		w.Stopped("a")
		Expect(w.Left(start)).To(Equal(epoch.PermitLife + epoch.ClockSlack))
		w.Stopped("b")
		Expect(w.Left(start)).To(Equal(epoch.ShortPermitLife + epoch.ClockSlack))
	})
})

var _ = DescribeTable("The life of the permits of an instance", func(registered, want time.Duration) {
	Expect(epoch.LifeOf(registered)).To(Equal(want))
},
	Entry("of an older version", time.Duration(0), epoch.PermitLife),
	Entry("as registered", epoch.ShortPermitLife, epoch.ShortPermitLife),
	Entry("negative", -time.Second, epoch.PermitLife),
	Entry("longer than any", time.Hour, epoch.PermitLife),
)

var _ = Describe("A fleet whose primary is replaced while messages are lost and machines suspended", func() {
	const seeds = 60

	It("passes on no answer of a server that isn't the primary", func() {
		promotions := 0
		for seed := range uint64(seeds) {
			m := newFleetModel(seed, true)
			Expect(m.run()).To(BeEmpty(), "seed %d", seed)
			promotions += m.promotions
		}
		Expect(promotions).To(BeNumerically(">", seeds))
	})

	It("does so if the promoter doesn't wait for the withdrawal", func() {
		violations := 0
		for seed := range uint64(seeds) {
			if newFleetModel(seed, false).run() != "" {
				violations++
			}
		}
		Expect(violations).To(BeNumerically(">", seeds/2))
	})
	It("does so if instances use permits for longer than they have registered with", func() {
		violations := 0
		for seed := range uint64(seeds) {
			m := newFleetModel(seed, true)
			m.outlives = true
			if m.run() != "" {
				violations++
			}
		}
		Expect(violations).To(BeNumerically(">", seeds/10))
	})
	It("does so if the promoter endorses withdrawn appointments", func() {
		violations := 0
		for seed := range uint64(seeds) {
			m := newFleetModel(seed, true)
			m.endorsesAlways = true
			if m.run() != "" {
				violations++
			}
		}
		Expect(violations).To(BeNumerically(">", seeds/4))
	})
})
