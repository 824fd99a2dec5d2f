package lead_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
)

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
