package lead_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
)

// setReplication has the replicas receive the log or not.
func (s *testCluster) setReplication(receives bool) {
	for _, id := range []model.ServerID{"r1", "r2"} {
		if receives {
			s.group.Server(id).Follow()
		} else {
			s.group.Server(id).CutReplication()
		}
	}
}

// Guards against a planned change of the primary that loses acknowledged commits.
var _ = Describe("A hand-over of a service with synchronous replicas", func() {
	var s *testCluster
	BeforeEach(func() {
		s = &testCluster{group: newGroup(0), syncReplicas: 1, stopped: true, bound: time.Hour}
	})

	It("leaves the primary alone while no replica is close to the end of its log", func() {
		s.setReplication(false)
		s.write()
		s.drain()
		Consistently(s.primary, 2*time.Second).Should(Equal(model.ServerID("p")))
		s.setReplication(true)
		Eventually(s.primary).WithTimeout(waitTimeout).Should(BeElementOf(model.ServerID("r1"), model.ServerID("r2")))
		Expect(s.group.Log()).To(HaveLen(1))
	})

	It("promotes the primary again if no replica receives the rest of its log", func() {
		s.steppingDown = func() error {
			s.set(func(s *testCluster) { s.steppingDown = nil })
			s.setReplication(false)
			s.write()
			return nil
		}
		s.drain()
		Eventually(s.fences).WithTimeout(waitTimeout).Should(HaveLen(1))
		Expect(s.primary()).To(Equal(model.ServerID("p")))
		s.setReplication(true)
		Eventually(s.primary).WithTimeout(waitTimeout).Should(BeElementOf(model.ServerID("r1"), model.ServerID("r2")))
		Expect(s.group.Log()).To(HaveLen(1))
	})

	It("has a primary step down whose log has no commit of its term yet", func() {
		s.write()
		s.drain()
		// Between the step-down and the promotion the group has no primary.
		Eventually(s.primary).WithTimeout(waitTimeout).Should(BeElementOf(model.ServerID("r1"), model.ServerID("r2")))
		former, writing := s.primary(), false
		s.set(func(s *testCluster) {
			s.draining = former
			s.promoting = func(s *testCluster) { writing = writing || s.group.Server(former).Registration().Primary }
		})
		Eventually(s.fences).WithTimeout(waitTimeout).Should(HaveLen(2))
		s.set(func(*testCluster) { Expect(writing).To(BeFalse()) })
	})
})

// drain starts a monitor of a service with one synchronous replica whose primary is draining.
func (s *testCluster) drain() {
	s.record("p", "r1", "r2")
	s.monitor()
	Eventually(s.confirmed).WithTimeout(waitTimeout).Should(BeTrue())
	s.set(func(s *testCluster) { s.draining = "p" })
}

// Guards against a promotion by the logs of replicas that still receive and acknowledge commits.
var _ = Describe("A promotion of a service with synchronous replicas", func() {
	for name, start := range map[string]func(*testCluster){
		"by a monitor that has just started and knows no term": func(s *testCluster) {
			s.group.Server("p").SetDown(true)
			s.monitor()
		},
		"at a hand-over whose primary can't be told to step down": func(s *testCluster) {
			s.steppingDown = func() error { return errors.New("no answer") }
			s.drain()
		},
	} {
		It("relies on paused replicas only: "+name, func() {
			s := &testCluster{group: newGroup(0), syncReplicas: 1, stopped: true, bound: time.Hour}
			s.record("p", "r1", "r2")
			paused := 0
			s.promoting = func(s *testCluster) {
				for _, id := range []model.ServerID{"r1", "r2"} {
					if s.group.Server(id).Paused() {
						paused++
					}
				}
			}
			start(s)
			Eventually(s.fences).WithTimeout(waitTimeout).ShouldNot(BeEmpty())
			s.set(func(*testCluster) { Expect(paused).To(BeNumerically(">=", 2)) })
		})
	}
})

// Guards against taking a service as one without synchronous replicas before the configuration is known.
var _ = Describe("A monitor that doesn't know the configuration", func() {
	It("promotes nobody", func() {
		s := &testCluster{group: newGroup(0), syncReplicas: 1, stopped: true, bound: time.Hour, unconfigured: true}
		s.record("p", "r1", "r2")
		s.group.Server("p").SetDown(true)
		s.monitor()
		Consistently(s.fences, 2*time.Second).Should(BeEmpty())
		s.set(func(s *testCluster) { s.unconfigured = false })
		Eventually(s.fences).WithTimeout(waitTimeout).ShouldNot(BeEmpty())
	})
})
