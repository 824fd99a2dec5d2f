package promo_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/promo"
)

// run returns a server in its n-th run.
func run(id string, n int, address string) plan.Server {
	return plan.Server{ID: model.ServerID(id), Address: address, Report: plan.Report{StartedAt: at(n)}}
}

// registered returns servers by their IDs.
func registered(servers ...plan.Server) map[model.ServerID]plan.Server {
	out := map[model.ServerID]plan.Server{}
	for _, s := range servers {
		out[s.ID] = s
	}
	return out
}

// Guards against counting replicas by the entries that the store has at the moment of a promotion.
var _ = Describe("CopySet", func() {
	first := []plan.Server{run("p", 1, "1"), run("a", 1, "2"), run("b", 1, "3")}
	known := promo.CopySet{}.With(first, 1)
	answer := func(s plan.Server, primary bool, pos model.Position) promo.ReplicaLog {
		return promo.ReplicaLog{Server: s, Point: model.NewPoint(2, pos), Term: 2, Primary: primary}
	}
	names := func(copies []promo.Copy) (out []string) {
		for _, c := range copies {
			out = append(out, string(c.Server)+c.Address)
		}
		return out
	}

	It("keeps the servers whose entries are missing, and each run of a server", func() {
		next := known.With([]plan.Server{run("a", 2, "2"), run("c", 1, "4")}, 1)
		Expect(names(next.All())).To(Equal([]string{"a2", "a2", "b3", "c4", "p1"}))
		Expect(next.Equal(known)).To(BeFalse())
		Expect(known.With(first[:1], 1).Equal(known)).To(BeTrue())
	})

	for name, c := range map[string]struct{ known, next, want int }{
		"the first one":        {0, 2, 2},
		"the lower one before": {1, 2, 1},
		"the lower one after":  {2, 1, 1},
	} {
		It("keeps the least number of synchronous replicas: "+name, func() {
			Expect(promo.NewCopySet(promo.CopySetConfig{SyncReplicas: c.known}).With(first, c.next).SyncReplicas()).To(Equal(c.want))
		})
	}

	for name, c := range map[string]struct {
		registered []plan.Server
		want       []string
	}{
		"none if all are registered":                                  {first, nil},
		"none if an entry is missing":                                 {first[:2], nil},
		"a run after which the server has started again":              {[]plan.Server{first[0], run("a", 2, "2"), first[2]}, []string{"a2"}},
		"a server at whose address another one is":                    {[]plan.Server{first[0], first[1], run("x", 7, "3")}, []string{"b3"}},
		"none of two servers that are registered at the same address": {append([]plan.Server{run("x", 7, "3")}, first...), nil},
	} {
		It("knows which processes have ended: "+name, func() {
			Expect(names(known.Ended(registered(c.registered...)))).To(Equal(c.want))
		})
	}

	for name, c := range map[string]struct {
		answers []promo.ReplicaLog
		total   int
		missing []model.ServerID
	}{
		"without an answer":                    {nil, 3, []model.ServerID{"a", "b", "p"}},
		"with one of each replica":             {[]promo.ReplicaLog{answer(run("a", 2, "2"), false, 1), answer(first[2], false, 1)}, 3, []model.ServerID{"a", "p"}},
		"with one of the primary that is back": {[]promo.ReplicaLog{answer(run("p", 2, "1"), true, 1), answer(first[2], false, 1)}, 2, []model.ServerID{"a"}},
	} {
		It("counts the replicas and names those that are missing: "+name, func() {
			set := known.With([]plan.Server{run("a", 2, "2")}, 1)
			if len(c.answers) > 0 && c.answers[0].Primary {
				set = known.With([]plan.Server{c.answers[0].Server}, 1)
			}
			Expect(set.Replicas(c.answers)).To(Equal(c.total))
			Expect(set.Missing(c.answers)).To(Equal(c.missing))
		})
	}

	It("removes copies that have ended, and takes the present number of synchronous replicas", func() {
		left := known.Settle().Without(known.All()[:1], 2)
		Expect(names(left.All())).To(Equal([]string{"b3", "p1"}))
		Expect(left.SyncReplicas()).To(Equal(2))
		Expect(left.Settled()).To(BeTrue())
	})

	for name, c := range map[string]struct {
		known, other promo.CopySet
		settled      bool
	}{
		"with nothing":                {known.Settle(), promo.CopySet{}, true},
		"nothing with it":             {promo.CopySet{}, known.Settle(), true},
		"with one that isn't settled": {known.Settle(), known, false},
	} {
		It("is merged "+name, func() {
			merged := c.known.Merge(c.other)
			Expect(merged.All()).To(HaveLen(3))
			Expect(merged.SyncReplicas()).To(Equal(1))
			Expect(merged.Settled()).To(Equal(c.settled))
		})
	}

	for name, c := range map[string]struct {
		answers      []promo.ReplicaLog
		syncReplicas int
		want         bool
	}{
		"none":                   {nil, 1, false},
		"a replica that has it":  {[]promo.ReplicaLog{answer(first[1], false, 5)}, 1, true},
		"too few":                {[]promo.ReplicaLog{answer(first[1], false, 5)}, 2, false},
		"a replica that lags":    {[]promo.ReplicaLog{answer(first[1], false, 4)}, 1, false},
		"another primary":        {[]promo.ReplicaLog{answer(first[1], true, 5)}, 1, false},
		"one of an earlier term": {[]promo.ReplicaLog{{Server: first[1], Point: model.NewPoint(2, 5), Term: 1}}, 1, false},
	} {
		It("finds out whether replicas hold the primary's log: "+name, func() {
			Expect(promo.Hold(c.answers, model.NewPoint(2, 5), c.syncReplicas)).To(Equal(c.want))
		})
	}
})

// Guards against taking a server that is only cut off from the store as ended.
var _ = Describe("Absences", func() {
	type attempt struct {
		ms                 int
		answered, replaced bool
	}
	for name, c := range map[string]struct {
		draining bool
		attempts []attempt
		ms       int
		ended    bool
	}{
		"a draining server that hasn't answered for a while":  {true, []attempt{{ms: 0}, {ms: 1000}}, 2000, true},
		"a draining server that has answered since":           {true, []attempt{{ms: 0}, {ms: 1000, answered: true}}, 2000, false},
		"a server that hasn't answered for as long":           {false, []attempt{{ms: 0}, {ms: 1000}}, 2000, false},
		"a server that hasn't answered for long":              {false, []attempt{{ms: 0}, {ms: 29_000}}, 30_000, true},
		"a server in whose place another process answers":     {false, []attempt{{ms: 0, replaced: true}}, 100, true},
		"a server in whose place another answers later":       {false, []attempt{{ms: 0}, {ms: 1000, replaced: true}}, 1100, true},
		"a server that hasn't been tried since it was absent": {true, nil, 60_000, false},
	} {
		It("counts as ended or not: "+name, func() {
			var a promo.Absences
			absent := []promo.Copy{{Server: "x", Draining: c.draining}}
			for _, t := range c.attempts {
				a.Due(at(t.ms), absent)
				a.Tried(at(t.ms), "x", t.answered, t.replaced)
			}
			Expect(a.Ended(at(c.ms), absent)).To(HaveLen(map[bool]int{true: 1}[c.ended]))
		})
	}

	It("has each server tried once a second, and anew after it had an entry", func() {
		var a promo.Absences
		absent := []promo.Copy{{Server: "x", Draining: true}}
		Expect(a.Due(at(0), absent)).To(HaveLen(1))
		a.Tried(at(0), "x", false, false)
		Expect(a.Due(at(900), absent)).To(BeEmpty())
		Expect(a.Due(at(1000), absent)).To(HaveLen(1))
		Expect(a.Due(at(1500), nil)).To(BeEmpty())
		a.Tried(at(1000), model.ServerID("x"), false, false)
		Expect(a.Due(at(1600), absent)).To(HaveLen(1))
		Expect(a.Ended(at(9000), absent)).To(BeEmpty())
	})
})
