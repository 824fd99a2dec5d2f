package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/promo"
	"pomelofork/io/view"
)

// record sets the recorded copies to the present runs of the given servers.
func (s *testCluster) record(servers ...model.ServerID) {
	config := promo.CopySetConfig{SyncReplicas: s.syncReplicas, Settled: true}
	for _, id := range servers {
		config.Copies = append(config.Copies, promo.Copy{Server: id, Domain: s.group.Server(id).Registration().Domain})
	}
	value, err := view.CopiesValue(promo.NewCopySet(config), 0)
	Expect(err).NotTo(HaveOccurred())
	s.set(func(s *testCluster) { s.copies = value })
}

// recorded returns the text of the recorded copies.
func (s *testCluster) recorded() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.copies)
}

// Guards against a promotion that counts only the replicas whose entries the store has at that moment:
// one whose entry has expired goes on to receive and acknowledge commits.
var _ = Describe("A promotion while the entry of a replica is missing", func() {
	for name, c := range map[string]struct {
		recorded, restarted, olderBuild, unwritable bool
		syncReplicas                                int
	}{
		"seen before by this monitor":                             {recorded: true, syncReplicas: 1},
		"by a monitor that has started since":                     {recorded: true, restarted: true, syncReplicas: 1},
		"by a monitor that has started since, before any record":  {restarted: true, syncReplicas: 1},
		"by one that has started since, beside an older build":    {recorded: true, restarted: true, olderBuild: true, syncReplicas: 1},
		"seen before by this monitor, which couldn't record it":   {unwritable: true, syncReplicas: 1},
		"by a monitor that has started since, with both replicas": {recorded: true, restarted: true, syncReplicas: 2},
	} {
		It("waits for that replica and goes on with it: "+name, func() {
			s := &testCluster{group: newGroup(0), syncReplicas: c.syncReplicas, stopped: true, bound: time.Hour, olderBuild: c.olderBuild, unwritable: c.unwritable}
			if c.recorded && !c.olderBuild {
				s.record("p", "r1", "r2")
			} else if c.recorded {
				s.record("p", "r2")
			}
			end := s.monitor()
			Eventually(s.confirmed).WithTimeout(waitTimeout).Should(BeTrue())
			s.group.Server("r2").CutReplication()
			s.write()
			if c.unwritable {
				// Until the monitor doesn't wait for unknown servers any more.
				time.Sleep(3500 * time.Millisecond)
			}
			if c.restarted {
				end()
			}
			s.set(func(s *testCluster) { s.gone = []model.ServerID{"r1"} })
			if c.syncReplicas == 2 {
				s.group.Server("r2").SetDown(true)
			}
			s.group.Server("p").SetDown(true)
			if c.restarted {
				s.monitor()
			}
			// Less than the time for which a monitor that knows no record waits.
			Consistently(s.fences, 1500*time.Millisecond).Should(BeEmpty())
			s.set(func(s *testCluster) { s.gone = nil })
			Eventually(s.primary).WithTimeout(waitTimeout).Should(Equal(model.ServerID("r1")))
			Expect(s.group.Log()).To(HaveLen(1))
		})
	}

	It("goes on with the primary if that returns first", func() {
		s := &testCluster{group: newGroup(0), syncReplicas: 1, stopped: true, bound: time.Hour, gone: []model.ServerID{"r1"}, appoints: true}
		s.record("p", "r1", "r2")
		s.monitor()
		Eventually(s.confirmed).WithTimeout(waitTimeout).Should(BeTrue())
		s.group.Server("r2").CutReplication()
		s.write()
		s.group.Server("p").SetDown(true)
		Eventually(s.withdrawn).WithTimeout(waitTimeout).Should(BeTrue())
		s.group.Server("p").Restart()
		Eventually(s.fences).WithTimeout(waitTimeout).ShouldNot(BeEmpty())
		Expect(s.primary()).To(Equal(model.ServerID("p")))
		Expect(s.group.Log()).To(HaveLen(1))
	})
})

// Guards against a service that counts as one without synchronous replicas because its configuration can't be read.
var _ = Describe("A promotion while the configuration of the service can't be read", func() {
	It("waits", func() {
		s := &testCluster{group: newGroup(0), stopped: true, bound: time.Hour, invalid: true}
		s.monitor()
		Eventually(s.confirmed).WithTimeout(waitTimeout).Should(BeTrue())
		s.group.Server("p").SetDown(true)
		Consistently(s.fences, 2500*time.Millisecond).Should(BeEmpty())
	})
})

// Guards against promotions that wait for ever for a server whose process has ended.
var _ = Describe("The recorded copies of a service's log", func() {
	It("lose an ended run only once the replicas have what it may have acknowledged", func() {
		s := startReplicated(0, 1)
		Eventually(s.recorded).WithTimeout(waitTimeout).Should(ContainSubstring(`"settled":true`))
		s.group.Server("r1").CutReplication()
		s.write()
		s.group.Server("r2").Restart()
		both := And(ContainSubstring(`{"server":"r2","address":"","domain":"c","started_ms":-62135596800000}`), ContainSubstring(`{"server":"r2","address":"","domain":"c","started_ms":1}`))
		Eventually(s.recorded).WithTimeout(waitTimeout).Should(both)
		Consistently(s.recorded, 1500*time.Millisecond).Should(both)
		s.group.Server("r1").Follow()
		Eventually(s.recorded).WithTimeout(waitTimeout).ShouldNot(ContainSubstring(`{"server":"r2","address":"","domain":"c","started_ms":-62135596800000}`))
	})

	It("lose a drained server that has no entry and doesn't answer, but none that answers", func() {
		s := startReplicated(0, 1)
		s.set(func(s *testCluster) { s.draining = "r2" })
		Eventually(s.recorded).WithTimeout(waitTimeout).Should(And(ContainSubstring(`"settled":true`), ContainSubstring(`"draining":true`)))
		s.set(func(s *testCluster) { s.gone = []model.ServerID{"r2"} })
		Consistently(s.recorded, 4*time.Second).Should(ContainSubstring(`"r2"`))
		s.set(func(s *testCluster) { s.lacking = "r2" })
		Consistently(s.recorded, 4*time.Second).Should(ContainSubstring(`"r2"`), "the monitor has no descriptor to find out")
		s.set(func(s *testCluster) { s.lacking = "" })
		s.group.Server("r2").SetDown(true)
		Eventually(s.recorded).WithTimeout(waitTimeout).ShouldNot(ContainSubstring(`"r2"`))
	})
})
