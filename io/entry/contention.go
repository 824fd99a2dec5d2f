package entry

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/eta"
	"pomelofork/core/pick"
	"pomelofork/core/place"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
)

// newPicker returns a picker, or nil if callers don't compete for capacity.
func newPicker(c Config) *pick.Picker {
	if !c.Contended {
		return nil
	}
	return pick.New(c.Disabled)
}

// sent records that an order is sent to a server. The caller holds the lock.
func (e *Entry) sent(now time.Time, server plan.Server, order *stmt.Order) eta.Sent {
	if e.picker == nil {
		return eta.Sent{}
	}
	return e.picker.Send(now, eta.Query{
		Server: server.ID, Slots: server.Slots, Route: order.Class, Priority: order.Priority, Account: order.Account,
		Beside: server.Primary && order.AnyServerMayBegin(), Far: server.Domain != e.config.Domain,
	})
}

// learn records the result of an order. The caller holds the lock.
func (e *Entry) learn(now time.Time, sent eta.Sent, server plan.Server, result *stmt.Result) {
	if e.picker == nil {
		return
	}
	if !e.picker.Answer(now, sent, result) {
		e.config.Log.LogAttrs(context.Background(), slog.LevelWarn, "reported waits are invalid and count as none",
			slog.String("server", string(server.ID)), slog.Duration("wait", result.Wait), slog.Any("waits", result.Waits))
	}
	if point := result.Answer.Point; !point.IsZero() && !server.Primary {
		if covered, ok := e.history(now, server.Service).CoveredUntil(point); ok {
			e.picker.Observe(now, server.ID, covered)
		}
	}
}

// look estimates when the candidates would answer, and notes it in them. The caller holds the lock.
func (a *attempts) look(now time.Time, required place.Requirement, candidates []place.Candidate) {
	e := a.session.entry
	if e.picker == nil {
		return
	}
	wanted, ok := e.history(now, a.route.Service).ReachedAt(required.After)
	if !ok {
		wanted = now
	}
	a.picked = pick.Statement{
		Service: a.route.Service, Route: a.order.Class, Priority: a.order.Priority, Account: a.account,
		Target: a.received.Add(a.route.TargetLatency), Deadline: a.deadline(), Required: required, Wanted: wanted,
		Probed: a.picked.Probed,
	}
	a.outlook = e.picker.Look(now, &a.picked, candidates)
}

// decide returns what to do next, with the chosen server if there is one.
func (a *attempts) decide(now time.Time, chosen plan.Server, found bool, tries int) pick.Decision {
	e := a.session.entry
	if e.picker == nil {
		return pick.Decision{}
	}
	instances := len(e.config.View.State().Instances)
	e.mu.Lock()
	d := e.picker.Decide(now, &a.picked, a.outlook, chosen, found, tries, instances)
	e.mu.Unlock()
	if d.Reason != "" && e.config.Decided != nil {
		e.config.Decided(d.Reason, a.route.Priority)
	}
	return d
}

// awaitReplica waits until a replica is expected to have caught up.
func (a *attempts) awaitReplica(pause time.Duration) {
	e := a.session.entry
	e.mu.Lock()
	e.picker.Wait(a.route.Service)
	e.mu.Unlock()
	time.Sleep(pause)
	e.mu.Lock()
	e.picker.Leave(a.route.Service)
	e.mu.Unlock()
}

// refuseWithReason returns the result of a statement that is refused without an attempt.
func refuseWithReason(d pick.Decision) stmt.Result {
	return stmt.Result{Answer: stmt.Refuse(stmt.CodeBusy, stmt.StateIdle, d.Reason), NotSent: true, RetryAfter: d.After}
}
