package epoch_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pomelofork/core/epoch"
	"pomelofork/core/model"
)

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
	// users are the registered instances in the promoter's copy of the store's content, and
	// observed is the epoch in that copy.
	users    map[model.InstanceID]time.Duration
	observed uint64
	// outlives is true in the variant in which instances use permits for longer than they have
	// registered with.
	outlives bool
	// mustWait is false in the variant that promotes without waiting for the withdrawal.
	mustWait bool
	// endorsesAlways is true in the variant whose promoter endorses whatever appointment an instance
	// knows, also a withdrawn one.
	endorsesAlways bool
	promotions     int
	violation      string
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
	// endorsements are answers of the promoter under way, and endorsed is when the instance sent the
	// question of the latest one that has arrived.
	endorsements []modelEndorsement
	endorsed     time.Time
	// outlives is that of the model.
	outlives bool
}

// modelEndorsement is an answer that the appointment of an epoch is in force.
type modelEndorsement struct {
	asked, arrives time.Time
	epoch          uint64
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
	// modelLife is the lifetime of an instance's lease. It is longer than a permit, as that of an
	// instance without rights.
	modelLife = 9 * time.Second
)

func newFleetModel(seed uint64, mustWait bool) *fleetModel {
	m := &fleetModel{random: rand.New(rand.NewPCG(seed, 7)), now: start, mustWait: mustWait, serving: [3]bool{true}}
	for i := range 4 {
		// Instances with short and long permits run side by side while the settings change.
		life := epoch.ShortPermitLife
		if i == 0 && seed%3 == 0 {
			life = epoch.PermitLife
		}
		m.instances = append(m.instances, &modelInstance{
			permit: epoch.Permit{Confirmed: start, Registered: start, ValidUntil: start.Add(modelLife), Life: life}, registeredUntil: start.Add(modelLife), reads: true,
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
	for _, inst := range m.instances {
		inst.outlives = m.outlives
	}
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
	m.endorse(inst)
	inst.inbox = keep(inst.inbox, func(message modelMessage) bool { return m.now.Before(message.arrives) })
	if m.chance(3) && inst.guard.Allows(m.now, inst.currentPermit(), inst.known) && inst.server >= 0 && m.serving[inst.server] {
		inst.inFlight = append(inst.inFlight, modelAnswer{inst.known, inst.server, m.now.Add(m.delay())})
	}
	for _, answer := range inst.inFlight {
		// The server commits when it answers, at the latest when the answer arrives.
		if !m.now.Before(answer.arrives) && inst.guard.Allows(m.now, inst.currentPermit(), answer.epoch) && answer.server != m.primary {
			m.violation = fmt.Sprintf("at %s instance %d passed on an answer of server %d under epoch %d, while server %d is the primary", m.now.Sub(start), i, answer.server, answer.epoch, m.primary)
		}
	}
	inst.inFlight = keep(inst.inFlight, func(answer modelAnswer) bool { return m.now.Before(answer.arrives) })
}

// endorse lets an instance ask the promoter whether the appointment is in force, and takes the answers
// that have arrived. The promoter doesn't answer while a withdrawal may be under way, except in the
// variant of the model that is meant to fail.
func (m *fleetModel) endorse(inst *modelInstance) {
	if m.chance(30) && (m.server >= 0 || m.endorsesAlways) {
		present := m.epoch
		if m.endorsesAlways {
			present = 0
		}
		inst.endorsements = append(inst.endorsements, modelEndorsement{m.now.Add(-m.delay() / 5), m.now.Add(m.delay()), present})
	}
	for _, e := range inst.endorsements {
		if !m.now.Before(e.arrives) {
			inst.guard.Raise(e.epoch)
			if e.asked.After(inst.endorsed) {
				inst.endorsed = e.asked
			}
		}
	}
	inst.endorsements = keep(inst.endorsements, func(e modelEndorsement) bool { return m.now.Before(e.arrives) })
}

// currentPermit returns the permit with the latest confirmation.
func (i *modelInstance) currentPermit() epoch.Permit {
	p := i.permit
	if i.outlives {
		p.Life = epoch.PermitLife
	}
	if i.endorsed.After(p.Confirmed) {
		p.Confirmed = i.endorsed
	}
	return p
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
		m.observed, m.users = m.epoch, map[model.InstanceID]time.Duration{}
		for i, inst := range m.instances {
			if m.now.Before(inst.registeredUntil) {
				m.users[model.InstanceID(fmt.Sprint(i))] = inst.permit.Life
			}
		}
	}
	if m.withdrawal != nil {
		m.withdrawal.Observe(m.observed >= m.withdrawn, m.users)
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
