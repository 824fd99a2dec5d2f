package lead_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
	"pomelofork/emul/group"
)

// evacuate sets which failure domains are evacuated.
func (s *testCluster) evacuate(domains ...model.Domain) {
	s.set(func(s *testCluster) { s.evacuated = domains })
}

// write commits a write at server p.
func (s *testCluster) write() {
	conn, err := group.Dialer{s.group}.Dial(context.Background(), s.group.Server("p").Registration(), "a")
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.Send([]stmt.Command{{Op: stmt.OpPass, ID: "w", Text: "WRITE x 1"}})).To(Succeed())
	_, err = conn.Receive()
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("A monitor of a primary whose failure domain is evacuated", func() {
	var s *testCluster
	BeforeEach(func() {
		s = start(0)
		Eventually(s.confirmed).WithTimeout(waitTimeout).Should(BeTrue())
	})

	for name, c := range map[string]struct {
		evacuated []model.Domain
		want      []model.ServerID
	}{
		"to any replica": {[]model.Domain{"a"}, []model.ServerID{"r1", "r2"}},
		"to a replica in a domain that isn't evacuated":   {[]model.Domain{"a", "b"}, []model.ServerID{"r2"}},
		"to no one if all domains are evacuated":          {[]model.Domain{"a", "b", "c"}, []model.ServerID{"p"}},
		"to no one if only other domains are evacuated":   {[]model.Domain{"b", "c"}, []model.ServerID{"p"}},
		"to no one if the evacuated domain isn't a known": {[]model.Domain{"x"}, []model.ServerID{"p"}},
	} {
		It("hands over "+name, func() {
			s.evacuate(c.evacuated...)
			Eventually(s.primary).WithTimeout(waitTimeout).Should(BeElementOf(c.want))
			Consistently(s.primary, time.Second).Should(BeElementOf(c.want))
			Expect(s.fences()).To(HaveLen(map[bool]int{true: 0, false: 1}[c.want[0] == "p"]))
			Expect(s.withdrawn()).To(BeFalse(), "the primary steps down instead")
		})
	}

	It("leaves the answers of the primary time to reach the gateways before it appoints another", func() {
		s.evacuate("a")
		Eventually(s.fences).WithTimeout(waitTimeout).Should(HaveLen(1))
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.appointedAt.Sub(s.steppedDownAt)).To(BeNumerically(">=", 50*time.Millisecond))
	})

	It("promotes no evacuated replica when the primary fails", func() {
		s.evacuate("b")
		time.Sleep(100 * time.Millisecond)
		s.group.Server("p").SetDown(true)
		Eventually(s.primary).WithTimeout(waitTimeout).Should(Equal(model.ServerID("r2")))
	})

	It("completes a promotion during which the domain is returned, and undoes nothing", func() {
		s.set(func(s *testCluster) { s.promoting = func(s *testCluster) { s.evacuated = nil } })
		s.evacuate("a")
		Eventually(s.primary).WithTimeout(waitTimeout).ShouldNot(Or(Equal(model.ServerID("p")), BeEmpty()))
		promoted := s.primary()
		Consistently(s.primary, time.Second).Should(Equal(promoted))
		Expect(s.fences()).To(HaveLen(1))
	})

	It("promotes no replica without the whole log, and the former primary again once the domain is returned", func() {
		s.group.Server("r1").CutReplication()
		s.group.Server("r2").CutReplication()
		s.write()
		s.evacuate("a")
		Eventually(s.primary).WithTimeout(waitTimeout).Should(BeEmpty(), "the primary has stepped down")
		Consistently(s.fences, time.Second).Should(BeEmpty())
		s.evacuate()
		Eventually(s.primary).WithTimeout(waitTimeout).Should(Equal(model.ServerID("p")))
		Expect(s.group.Log()).To(HaveLen(1))
	})
})

var _ = Describe("Monitors of a primary whose failure domain is evacuated", func() {
	It("replace it although the first of them dies after the primary has stepped down", func() {
		s := &testCluster{group: newGroup(0), stopped: true, bound: time.Hour}
		end := s.monitor()
		s.promoting = func(s *testCluster) {
			end()
			s.refuse, s.promoting = true, nil
		}
		Eventually(s.confirmed).WithTimeout(waitTimeout).Should(BeTrue())
		s.write()
		s.evacuate("a")
		Eventually(s.fences).WithTimeout(waitTimeout).Should(HaveLen(1))
		Expect(s.primary()).To(BeEmpty())
		s.set(func(s *testCluster) { s.refuse = false })
		s.monitor()
		Eventually(s.primary).WithTimeout(waitTimeout).Should(BeElementOf(model.ServerID("r1"), model.ServerID("r2")))
		Expect(s.group.Log()).To(HaveLen(1))
	})

	It("never pause an evacuated replica, which nobody may tell to resume once its domain is sealed", func() {
		s := startReplicated(0, 1)
		s.set(func(s *testCluster) { s.refuse = true })
		Eventually(s.confirmed).WithTimeout(waitTimeout).Should(BeTrue())
		s.evacuate("b")
		time.Sleep(100 * time.Millisecond)
		s.group.Server("p").SetDown(true)
		Consistently(s.group.Server("r1").Paused, 1500*time.Millisecond).Should(BeFalse())
	})

	It("replace it by a withdrawal when it may not be asked to step down any more", func() {
		s := &testCluster{group: newGroup(0), stopped: true, bound: 20 * time.Millisecond, evacuated: []model.Domain{"a"}}
		s.monitor()
		Eventually(s.primary).WithTimeout(waitTimeout).Should(BeElementOf(model.ServerID("r1"), model.ServerID("r2")))
		Expect(s.withdrawn()).To(BeTrue())
	})

	for name, c := range map[string]struct {
		syncReplicas int
		cut          []model.ServerID
		evacuated    []model.Domain
	}{
		"a lagging replica of a service that replicates asynchronously":                  {0, []model.ServerID{"r1", "r2"}, []model.Domain{"a"}},
		"a replica that lacks commits which only the evacuated servers have, one of two": {1, []model.ServerID{"r2"}, []model.Domain{"a", "b"}},
	} {
		It("promote nobody after the domain was closed either, until it is returned: "+name, func() {
			s := &testCluster{group: newGroup(0), syncReplicas: c.syncReplicas, stopped: true, bound: 2 * time.Second}
			s.monitor()
			Eventually(s.confirmed).WithTimeout(waitTimeout).Should(BeTrue())
			for _, id := range c.cut {
				s.group.Server(id).CutReplication()
			}
			s.write()
			s.evacuate(c.evacuated...)
			Consistently(s.fences, 4*time.Second).Should(BeEmpty())
			s.evacuate()
			Eventually(s.primary).WithTimeout(waitTimeout).ShouldNot(BeEmpty())
			Expect(s.group.Log()).To(HaveLen(1))
		})
	}
})
