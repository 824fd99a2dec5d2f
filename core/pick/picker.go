package pick

import (
	"slices"
	"time"

	"pomelofork/core/eta"
	"pomelofork/core/lag"
	"pomelofork/core/model"
	"pomelofork/core/place"
	"pomelofork/core/plan"
	"pomelofork/core/retry"
	"pomelofork/core/stmt"
	"pomelofork/core/trial"
)

const (
	// minPause is the shortest wait for a replica.
	minPause = 5 * time.Millisecond
	// stopReturnAfter is the shortest time after which a caller is told to return whose statement gets no
	// further attempt: about the time in which the queues of servers change.
	stopReturnAfter = 100 * time.Millisecond
)

// demand is what this entry's callers ask of one service.
type demand struct {
	budget retry.Budget
	gate   eta.Gate
	// waiting is the number of reads that wait for a replica to catch up.
	waiting int
}

// Picker is what one entry knows of servers and services. It isn't safe for concurrent use.
type Picker struct {
	disabled trial.Disabled
	book     *eta.Book
	replicas map[model.ServerID]*lag.Replica
	services map[model.ServiceID]*demand
}

// New returns a picker that knows nothing.
func New(disabled trial.Disabled) *Picker {
	return &Picker{disabled: disabled, book: eta.NewBook(), replicas: map[model.ServerID]*lag.Replica{}, services: map[model.ServiceID]*demand{}}
}

// Send records that a statement is sent to a server. Each one must be passed to Answer.
func (p *Picker) Send(now time.Time, q eta.Query) eta.Sent { return p.book.Send(now, q) }

// Answer records the result of a statement. It returns false if the waits that the result reports are
// invalid. They then count as none.
func (p *Picker) Answer(now time.Time, sent eta.Sent, result *stmt.Result) bool {
	return p.book.Answer(now, sent, result)
}

// Observe records that a replica's log holds every commit acknowledged before covered.
func (p *Picker) Observe(now time.Time, id model.ServerID, covered time.Time) {
	p.replica(id).Observe(now, covered)
}

// Look estimates when the candidates would answer the statement, and notes it in them.
func (p *Picker) Look(now time.Time, s *Statement, candidates []place.Candidate) Outlook {
	var o Outlook
	for i := range candidates {
		c := &candidates[i]
		if s.Required.Primary && !c.Server.Primary {
			continue
		}
		estimate := p.book.Estimate(now, s.query(c.Server, c.SameDomain))
		o.high = max(o.high, estimate.Trip+estimate.High)
		if c.Server.Primary && estimate.ClosedUntil.After(now) {
			o.primaryClosedUntil = estimate.ReturnAt
		}
		mayHold := p.mayHold(now, s, c, &o)
		if mayHold && (c.Server.Primary || !c.Server.Draining) {
			o.options = append(o.options, eta.Option{Estimate: estimate, Slots: c.Server.Slots})
		}
		if p.placesByEstimate() {
			c.Estimate = &place.Estimate{Answer: estimate.Mean(), MayHold: mayHold, Closed: estimate.ClosedUntil.After(now)}
		}
	}
	return o
}

// mayHold reports whether a candidate may hold the wanted point now. A replica that will hold it later
// is added to the outlook.
func (p *Picker) mayHold(now time.Time, s *Statement, c *place.Candidate, o *Outlook) bool {
	if c.Server.Primary || !c.Point.Less(s.Required.After) {
		return true
	}
	replica := p.replica(c.Server.ID)
	at, known := replica.CatchUp(now, s.Wanted)
	if known && !at.After(now) {
		return true
	}
	if known && !c.Server.Draining {
		o.lagging = append(o.lagging, lag.Replacement{At: at, Slots: c.Server.Slots})
	}
	if !replica.MayProbe(now) || !p.demand(s.Service).budget.Left() {
		return false
	}
	o.probes = append(o.probes, c.Server.ID)
	return true
}

// placesByEstimate reports whether servers are compared by estimates. A rule of placement that is
// switched off is one of the constant costs, so that these apply then.
func (p *Picker) placesByEstimate() bool {
	for _, s := range []trial.Switch{trial.DomainPlacement, trial.WaitPlacement, trial.LatencyPlacement, trial.WaitingEstimate} {
		if p.disabled.Has(s) {
			return false
		}
	}
	return true
}

// probe records that the server is tried to find out how far its log is, if the statement is such a
// probe.
func (p *Picker) probe(now time.Time, s *Statement, chosen model.ServerID, o Outlook) {
	if !slices.Contains(o.probes, chosen) {
		return
	}
	p.replica(chosen).Probe(now)
	// The repetition is paid for now, so that the statement isn't refused for having been the probe.
	s.Probed = p.demand(s.Service).budget.Further()
}

// Decide returns what to do next with the statement. tries is the number of attempts that were made,
// found says that a server was chosen, and instances is the number of instances.
func (p *Picker) Decide(now time.Time, s *Statement, o Outlook, chosen plan.Server, found bool, tries, instances int) Decision {
	d := p.demand(s.Service)
	reason := ""
	if !p.disabled.Has(trial.PrimaryRoom) && !s.Required.Primary && (!found || chosen.Primary) {
		action, after := lag.Decide(now, lag.Read{
			Target: s.Target, Work: o.high, Waiting: d.waiting, Instances: instances, Replicas: o.lagging, Primary: found, PrimaryClosedUntil: o.primaryClosedUntil,
		})
		switch {
		case action == lag.ActionWait:
			return Decision{ActionWait, max(after, minPause), ReasonAwait}
		case action == lag.ActionRefuse && found:
			return Decision{ActionRefuse, after, ReasonLagging}
		case found:
			reason = ReasonAtPrimary
		}
	}
	if !found {
		return Decision{}
	}
	if d := p.permit(now, s, o, tries, instances); d.Action != ActionSend {
		return d
	}
	p.probe(now, s, chosen.ID, o)
	return Decision{Reason: reason}
}

// permit decides whether an attempt is made, by the estimates and by the budget.
func (p *Picker) permit(now time.Time, s *Statement, o Outlook, tries, instances int) Decision {
	d := p.demand(s.Service)
	left := s.Deadline.Sub(now)
	estimates := !p.disabled.Has(trial.WaitingEstimate)
	if tries == 0 {
		if estimates {
			if after, ok := d.gate.Refuse(now, left, instances, o.options); ok {
				return Decision{ActionRefuse, after, ReasonLate}
			}
		}
		d.budget.First()
		return Decision{}
	}
	probed := s.Probed
	s.Probed = false
	if estimates && !eta.Possible(now, left, o.options) {
		return Decision{ActionStop, stopReturnAfter, ReasonNoRetry}
	}
	if !probed && !p.disabled.Has(trial.RetryBudget) && !d.budget.Further() {
		return Decision{ActionStop, stopReturnAfter, ReasonRetrySpent}
	}
	return Decision{}
}

// Wait records that a read of the service begins to wait for a replica. It must end with Leave.
func (p *Picker) Wait(service model.ServiceID) { p.demand(service).waiting++ }

// Leave records that a read no longer waits.
func (p *Picker) Leave(service model.ServiceID) { p.demand(service).waiting-- }

// replica returns what is known of the progress of a replica.
func (p *Picker) replica(id model.ServerID) *lag.Replica {
	r, ok := p.replicas[id]
	if !ok {
		r = &lag.Replica{}
		p.replicas[id] = r
	}
	return r
}

// demand returns what is asked of a service.
func (p *Picker) demand(id model.ServiceID) *demand {
	d, ok := p.services[id]
	if !ok {
		d = &demand{}
		p.services[id] = d
	}
	return d
}
