package lead_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

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
