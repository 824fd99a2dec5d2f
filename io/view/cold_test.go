package view

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/plan"
)

var _ = Describe("The time until which a server is cold", func() {
	now := time.Unix(1000, 0)
	report := func(started int64, number uint64) plan.Report {
		return plan.Report{StartedAt: time.Unix(started, 0), Number: number}
	}
	start := plan.ColdStart{Duration: 8 * time.Second, PerSecond: 20}
	for name, c := range map[string]struct {
		report    plan.Report
		coldFor   time.Duration
		former    plan.Server
		unknown   bool
		start     plan.ColdStart
		wantAfter time.Duration
	}{
		"follows the entry of a new server":                         {report(10, 1), 3 * time.Second, plan.Server{}, true, start, 3 * time.Second},
		"is none for a new server whose entry says nothing":         {report(10, 1), 0, plan.Server{}, true, start, 0},
		"isn't moved by an entry that is read again":                {report(10, 1), 3 * time.Second, plan.Server{Report: report(10, 1), ColdUntil: now.Add(time.Second)}, false, start, time.Second},
		"stays if a later entry says nothing":                       {report(10, 2), 0, plan.Server{Report: report(10, 1), ColdUntil: now.Add(time.Second)}, false, start, time.Second},
		"is extended by a later entry":                              {report(10, 2), 4 * time.Second, plan.Server{Report: report(10, 1), ColdUntil: now.Add(time.Second)}, false, start, 4 * time.Second},
		"is that of a start for a process that was started anew":    {report(20, 1), 0, plan.Server{Report: report(10, 9)}, false, start, 8 * time.Second},
		"is the later one of start and entry":                       {report(20, 1), 9 * time.Second, plan.Server{Report: report(10, 9)}, false, start, 9 * time.Second},
		"is that of a start for a new server with an invalid entry": {report(10, 1), -1, plan.Server{}, true, start, 8 * time.Second},
		"stays if a later entry is invalid":                         {report(10, 2), -1, plan.Server{Report: report(10, 1), ColdUntil: now.Add(time.Second)}, false, start, time.Second},
		"isn't assumed if the configuration states no rate":         {report(20, 1), 0, plan.Server{Report: report(10, 9)}, false, plan.ColdStart{}, 0},
	} {
		It(name, func() {
			server := plan.Server{Report: c.report, ColdFor: c.coldFor}
			until := coldEnd(now, server, c.former, !c.unknown, c.start)
			if c.wantAfter == 0 {
				Expect(until.IsZero()).To(BeTrue())
				return
			}
			Expect(until.Sub(now)).To(Equal(c.wantAfter))
		})
	}
})
