package epoch_test

import (
	"fmt"
	"math/rand/v2"
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
	permit := epoch.Permit{Confirmed: start, Registered: start.Add(-time.Minute), ValidUntil: start.Add(time.Hour)}
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
	ids := []model.InstanceID{"a", "b", "c"}
	after := start.Add(time.Millisecond)

	It("ends when every instance that may use the primary has stopped", func() {
		w := epoch.NewWithdrawal(start)
		w.Observe(after, ids)
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
		w.Observe(after, ids)
		Expect(w.Left(start.Add(epoch.PermitLife + epoch.ClockSlack))).To(BeZero())
	})

	It("counts instances as stopped whose registration has ended", func() {
		w := epoch.NewWithdrawal(start)
		w.Observe(after, ids)
		w.Stopped("a")
		w.Observe(after, ids[:1])
		Expect(w.Left(after)).To(BeZero())
	})

	It("doesn't end by what was known before it was written", func() {
		w := epoch.NewWithdrawal(start)
		w.Observe(start.Add(-time.Millisecond), nil)
		Expect(w.Left(after)).NotTo(BeZero())
		w.Observe(after, ids)
		Expect(w.Pending()).To(Equal(ids))
	})
})

// fleetModel is a fleet with one service, in steps of 10 ms. The store's entry, the platform's
// promotion and the servers are exact; messages are lost and delayed, machines are suspended, and
// each server answers as primary to everyone who reaches it until it learns of a promotion.
type fleetModel struct {
	random *rand.Rand
	now    time.Time
	// record is the appointment in the store: its epoch and server.
	epoch  uint64
	server int
	// effectAt is when the promotion of target takes effect, or zero.
	effectAt time.Time
	target   int
	// primary is the server that leads the highest term. serving are the servers that answer as
	// primary: this one, and those that haven't learned yet that they were replaced.
	primary   int
	serving   [3]bool
	instances []*modelInstance
	// withdrawal is the promoter's, which lost count of its acknowledgements when it was
	// replaced.
	withdrawal *epoch.Withdrawal
	withdrawn  uint64
	// users are the registered instances that the promoter knew at observed.
	users    []model.InstanceID
	observed time.Time
	// mustWait is false in the variant that promotes without waiting for the withdrawal.
	mustWait   bool
	promotions int
	violation  string
}

// modelInstance is an instance with its copy of the store's entry and the work in flight.
type modelInstance struct {
	guard          epoch.Guard
	known          uint64
	server         int
	permit         epoch.Permit
	suspendedUntil time.Time
	// registeredUntil is when the store ends the registration.
	registeredUntil time.Time
	// reads says that the instance hears from the store at present.
	reads bool
	// inFlight are the answers that a server has made and that have not been passed on.
	inFlight []modelAnswer
	// inbox are withdrawals under way to the instance.
	inbox []modelMessage
}

type modelAnswer struct {
	epoch   uint64
	server  int
	arrives time.Time
}

type modelMessage struct {
	epoch   uint64
	arrives time.Time
}

const (
	modelStep = 10 * time.Millisecond
	// modelLife is the lifetime of an instance's lease.
	modelLife = 2 * time.Second
)

func newFleetModel(seed uint64, mustWait bool) *fleetModel {
	m := &fleetModel{random: rand.New(rand.NewPCG(seed, 7)), now: start, mustWait: mustWait, serving: [3]bool{true}}
	for range 4 {
		m.instances = append(m.instances, &modelInstance{
			permit: epoch.Permit{Confirmed: start, Registered: start, ValidUntil: start.Add(modelLife)}, registeredUntil: start.Add(modelLife), reads: true,
		})
	}
	return m
}

// chance is true once in n calls on average.
func (m *fleetModel) chance(n int) bool { return m.random.IntN(n) == 0 }

// delay returns a random delay of a message.
func (m *fleetModel) delay() time.Duration { return time.Duration(m.random.IntN(150)) * modelStep }

// run plays some minutes and returns the first violation.
func (m *fleetModel) run() string {
	for range 12_000 {
		m.now = m.now.Add(modelStep)
		if !m.effectAt.IsZero() && !m.now.Before(m.effectAt) {
			m.primary, m.effectAt = m.target, time.Time{}
			m.serving[m.target] = true
			m.promotions++
		}
		for server := range m.serving {
			if server != m.primary && m.chance(500) {
				m.serving[server] = false
			}
		}
		for i, inst := range m.instances {
			m.stepInstance(i, inst)
		}
		m.stepPromoter()
		if m.violation != "" {
			return m.violation
		}
	}
	return ""
}

func (m *fleetModel) stepInstance(i int, inst *modelInstance) {
	switch {
	case m.now.Before(inst.suspendedUntil):
		return
	case m.chance(900):
		inst.suspendedUntil = m.now.Add(time.Duration(m.random.IntN(600)) * modelStep)
		return
	case m.chance(400):
		inst.reads = !inst.reads
	}
	if inst.reads && m.chance(20) {
		// The answer of the store shows the content of some moments ago at the earliest.
		inst.permit.Confirmed, inst.known, inst.server = m.now, m.epoch, m.server
		inst.guard.Raise(m.epoch)
	}
	if inst.reads && m.chance(40) {
		m.renew(inst)
	}
	for _, message := range inst.inbox {
		if !m.now.Before(message.arrives) {
			inst.guard.Raise(message.epoch)
			if m.withdrawal != nil && message.epoch == m.withdrawn && !m.chance(4) {
				m.withdrawal.Stopped(model.InstanceID(fmt.Sprint(i)))
			}
		}
	}
	inst.inbox = keep(inst.inbox, func(message modelMessage) bool { return m.now.Before(message.arrives) })
	if m.chance(3) && inst.guard.Allows(m.now, inst.permit, inst.known) && inst.server >= 0 && m.serving[inst.server] {
		inst.inFlight = append(inst.inFlight, modelAnswer{inst.known, inst.server, m.now.Add(m.delay())})
	}
	for _, answer := range inst.inFlight {
		// The server commits when it answers, at the latest when the answer arrives.
		if !m.now.Before(answer.arrives) && inst.guard.Allows(m.now, inst.permit, answer.epoch) && answer.server != m.primary {
			m.violation = fmt.Sprintf("at %s instance %d passed on an answer of server %d under epoch %d, while server %d is the primary", m.now.Sub(start), i, answer.server, answer.epoch, m.primary)
		}
	}
	inst.inFlight = keep(inst.inFlight, func(answer modelAnswer) bool { return m.now.Before(answer.arrives) })
}

// renew renews the registration of an instance, or registers it again after a gap. The call
// reaches the store some time after it was made.
func (m *fleetModel) renew(inst *modelInstance) {
	if !m.now.Before(inst.registeredUntil) {
		inst.permit.Registered = m.now
	}
	inst.registeredUntil = m.now.Add(modelLife)
	inst.permit.ValidUntil = inst.registeredUntil.Add(-time.Duration(m.random.IntN(20)) * modelStep)
}

// keep returns the elements that match, in a new slice.
func keep[T any](in []T, match func(T) bool) []T {
	var out []T
	for _, element := range in {
		if match(element) {
			out = append(out, element)
		}
	}
	return out
}

// stepPromoter withdraws the appointment at random times, and promotes another server when it
// may. A promoter that was replaced starts again.
func (m *fleetModel) stepPromoter() {
	if m.withdrawal != nil && m.chance(300) {
		m.withdrawal = nil
		return
	}
	if m.withdrawal != nil && m.chance(5) {
		m.observed, m.users = m.now, nil
		for i, inst := range m.instances {
			if m.now.Before(inst.registeredUntil) {
				m.users = append(m.users, model.InstanceID(fmt.Sprint(i)))
			}
		}
	}
	if m.withdrawal != nil {
		m.withdrawal.Observe(m.observed, m.users)
	}
	switch {
	case m.withdrawal == nil && m.effectAt.IsZero() && m.chance(200):
		m.epoch, m.server, m.withdrawn = m.epoch+1, -1, m.epoch+1
		for _, inst := range m.instances {
			if !m.chance(3) {
				inst.inbox = append(inst.inbox, modelMessage{m.epoch, m.now.Add(m.delay())})
			}
		}
		m.withdrawal = epoch.NewWithdrawal(m.now)
	case m.withdrawal != nil && (!m.mustWait || m.withdrawal.Left(m.now) == 0):
		// A server that still serves in an older term isn't appointed: it would answer before
		// its promotion takes effect.
		m.target = m.random.IntN(3)
		for m.serving[m.target] && m.target != m.primary {
			m.target = m.random.IntN(3)
		}
		m.epoch, m.server = m.epoch+1, m.target
		m.effectAt = m.now.Add(300*time.Millisecond + m.delay())
		m.withdrawal = nil
	}
}

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
})
