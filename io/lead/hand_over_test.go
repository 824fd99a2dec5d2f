package lead_test

import (
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
		Eventually(s.primary).WithTimeout(waitTimeout).ShouldNot(Equal(model.ServerID("p")))
		former, writing := s.primary(), false
		s.set(func(s *testCluster) {
			s.draining = former
			s.promoting = func(s *testCluster) { writing = writing || s.group.Server(former).Registration().Primary }
		})
		Eventually(s.fences).WithTimeout(waitTimeout).Should(HaveLen(2))
		s.set(func(*testCluster) { Expect(writing).To(BeFalse()) })
	})
})
