package view

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/plan"
)

var start = time.Unix(1000, 0)

var _ = Describe("State builder", func() {
	first := func() *State {
		b := newStateBuilder(start, &State{})
		b.setServer(plan.Server{ID: "b", Service: "s"})
		b.setServer(plan.Server{ID: "a", Service: "s"})
		b.setServer(plan.Server{ID: "c", Service: "t"})
		b.setInstance(plan.Instance{ID: "i"})
		b.setRight("r", Right{Instance: "i"})
		return &b.next
	}
	ids := func(s *State, service model.ServiceID) []model.ServerID {
		var out []model.ServerID
		for _, server := range s.Services[service] {
			out = append(out, server.ID)
		}
		return out
	}

	It("leaves the former state unchanged", func() {
		s := first()
		b := newStateBuilder(start, s)
		b.setServer(plan.Server{ID: "a", Service: "s", Primary: true})
		b.removeServer("c")
		b.removeInstance("i")
		b.removeRight("r")
		Expect(s.Services["s"][0].Primary).To(BeFalse())
		Expect(s.Servers).To(HaveLen(3))
		Expect(s.Instances).To(HaveLen(1))
		Expect(s.Rights).To(HaveLen(1))
		Expect(b.next.Services["s"][0].Primary).To(BeTrue())
		Expect(b.next.Services).NotTo(HaveKey(model.ServiceID("t")))
		Expect(b.next.Instances).To(BeEmpty())
		Expect(b.next.Rights).To(BeEmpty())
	})

	It("keeps the servers of a service sorted, also when one moves to another service", func() {
		b := newStateBuilder(start, first())
		Expect(ids(&b.next, "s")).To(Equal([]model.ServerID{"a", "b"}))
		b.setServer(plan.Server{ID: "a", Service: "t"})
		Expect(ids(&b.next, "s")).To(Equal([]model.ServerID{"b"}))
		Expect(ids(&b.next, "t")).To(Equal([]model.ServerID{"a", "c"}))
	})

	It("counts one change of each changed map, and shares the unchanged maps with the former state", func() {
		s := first()
		b := newStateBuilder(start, s)
		b.setRight("q", Right{Instance: "i"})
		b.setRight("p", Right{Instance: "i"})
		b.removeInstance("unknown")
		Expect(b.next.ChangeCounts).To(Equal(ChangeCounts{Servers: s.ChangeCounts.Servers, Instances: s.ChangeCounts.Instances, Rights: s.ChangeCounts.Rights + 1}))
		b.next.Instances["shared"] = plan.Instance{}
		Expect(s.Instances).To(HaveKey(model.InstanceID("shared")))
	})

	Describe("of a service whose primary is lost", func() {
		lose := func(change func(*stateBuilder)) *State {
			b := newStateBuilder(start, first())
			b.setServer(plan.Server{ID: "b", Service: "s", Primary: true, ReportsPrimary: true})
			Expect(b.next.Vacancies).To(BeEmpty())
			b = newStateBuilder(start.Add(time.Second), &b.next)
			change(b)
			return &b.next
		}
		lost := map[model.ServiceID]Vacancy{"s": {Former: "b", Since: start.Add(time.Second)}}
		for name, change := range map[string]func(*stateBuilder){
			"by the removal of its entry": func(b *stateBuilder) { b.removeServer("b") },
			"by another role":             func(b *stateBuilder) { b.setServer(plan.Server{ID: "b", Service: "s"}) },
			"by a withdrawal":             func(b *stateBuilder) { b.setAppointment("s", plan.Appointment{Epoch: 1}) },
		} {
			It("records which it was and since when: "+name, func() {
				Expect(lose(change).Vacancies).To(Equal(lost))
			})
		}
		It("counts from the appointment of another server, until that reports the role", func() {
			b := newStateBuilder(start.Add(2*time.Second), lose(func(b *stateBuilder) { b.removeServer("b") }))
			b.setAppointment("s", plan.Appointment{Server: "a", Epoch: 1})
			Expect(b.next.Vacancies).To(Equal(map[model.ServiceID]Vacancy{"s": {Promoting: true, Since: start.Add(2 * time.Second)}}))
			b = newStateBuilder(start.Add(3*time.Second), &b.next)
			b.setServer(plan.Server{ID: "a", Service: "s", Primary: true, ReportsPrimary: true})
			Expect(b.next.Vacancies).To(BeEmpty())
		})
		It("forgets it with the last server", func() {
			Expect(lose(func(b *stateBuilder) { b.removeServer("b"); b.removeServer("a") }).Vacancies).To(BeEmpty())
		})
	})
})
