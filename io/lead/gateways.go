package lead

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/epoch"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/promo"
	"pomelofork/io/clock"
	"pomelofork/io/store"
)

const (
	// probingGateways is the number of gateways that are asked to probe a primary whose
	// confirmation is old. The others say what they know.
	probingGateways = 3
	// withdrawPause is the pause before gateways are told of a withdrawal again.
	withdrawPause = 100 * time.Millisecond
	// viewPause is the pause before the view is looked at again.
	viewPause = 10 * time.Millisecond
)

// Gateways are the instances through which callers use the servers of a service. Package proxy
// implements it.
type Gateways interface {
	// Holders returns the instances that may use the server as a primary, those that most
	// callers go through first.
	Holders(server plan.Server) []plan.Instance
	// Confirm asks an instance when the server was last known to be the primary of its service.
	// If that is long ago and probe is true, the instance probes the server. Confirm returns the
	// zero time if the instance doesn't know or doesn't answer.
	Confirm(now time.Time, instance plan.Instance, server plan.Server, probe bool) time.Time
	// Withdraw tells an instance that the epochs of a service below the given one were
	// withdrawn. It reports whether the instance uses none of them any more.
	Withdraw(now time.Time, instance plan.Instance, service model.ServiceID, epoch uint64) bool
}

// askIfDoubtful asks the gateways of a primary whose last confirmation is old. The channel
// receives the latest time as of which one of them knows that the server was the primary, or the
// zero time.
func (m *Monitor) askIfDoubtful(ctx context.Context, now time.Time, primary plan.Server) <-chan time.Time {
	result := make(chan time.Time, 1)
	if !m.machine.Doubtful(now) {
		result <- time.Time{}
		return result
	}
	holders := m.config.Gateways.Holders(primary)
	answers := make(chan time.Time, len(holders))
	for i, holder := range holders {
		go func() { answers <- m.config.Gateways.Confirm(now, holder, primary, i < probingGateways) }()
	}
	go func() {
		var latest time.Time
		for range holders {
			if at := <-answers; at.After(latest) {
				latest = at
			}
		}
		m.config.Log.LogAttrs(ctx, slog.LevelInfo, "asked the gateways of a primary that this instance doesn't reach", slog.String("server", string(primary.ID)),
			slog.Int("gateways", len(holders)), slog.Bool("confirmed", !latest.IsZero()), slog.Duration("age", now.Sub(latest)))
		result <- latest
	}()
	return result
}

// withdraw withdraws the appointment of the present primary and returns when no instance uses it
// any more. It returns false if that failed, or if this instance has lost the right to monitor
// the service meanwhile.
func (m *Monitor) withdraw(ctx context.Context, decision promo.Decision, servers []plan.Server) bool {
	withdrawal, err := m.config.Appoint(ctx, "")
	if err != nil {
		m.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot withdraw the appointment of a primary", slog.String("service", string(m.config.Service)), slog.String("error", err.Error()))
		return false
	}
	w := epoch.NewWithdrawal(clock.Now())
	for first := true; ; {
		// The revision is read before the instances, so that these are at least as recent.
		known := m.config.View.Revision()
		if store.Era(known) != store.Era(withdrawal) {
			m.config.Log.LogAttrs(ctx, slog.LevelWarn, "store was restored from an older copy, the withdrawal begins again", slog.String("service", string(m.config.Service)))
			return false
		}
		gateways := m.gatewaysOf(decision.Primary, servers)
		w.Observe(known >= withdrawal, permitLives(gateways))
		m.tellPending(w, gateways, withdrawal)
		now := clock.Now()
		left, pending := w.Left(now), w.Pending()
		if left == 0 {
			break
		}
		if first && len(pending) > 0 {
			first = false
			m.config.Log.LogAttrs(ctx, slog.LevelWarn, "waiting for gateways that may still use the primary", slog.String("service", string(m.config.Service)),
				slog.Any("instances", pending), slog.Uint64("epoch", withdrawal), slog.Duration("at_most", left))
		}
		if !m.config.Holds(now) {
			return false
		}
		pause := withdrawPause
		if len(pending) == 0 {
			// Only the view has to show that there are no others.
			pause = viewPause
		}
		time.Sleep(min(left, pause))
	}
	return m.config.Holds(clock.Now())
}

// gatewaysOf returns the instances that may use the server as the primary. If it isn't known, any
// server of the service may be meant.
func (m *Monitor) gatewaysOf(primary model.ServerID, servers []plan.Server) map[model.InstanceID]plan.Instance {
	gateways := map[model.InstanceID]plan.Instance{}
	for _, server := range append([]plan.Server{m.lastPrimary}, servers...) {
		if server.ID == "" || (primary != "" && server.ID != primary) {
			continue
		}
		for _, instance := range m.config.Gateways.Holders(server) {
			gateways[instance.ID] = instance
		}
	}
	return gateways
}

// permitLives returns the lives of the permits that instances have registered with.
func permitLives(instances map[model.InstanceID]plan.Instance) map[model.InstanceID]time.Duration {
	lives := map[model.InstanceID]time.Duration{}
	for id, inst := range instances {
		lives[id] = epoch.LifeOf(inst.PermitLife)
	}
	return lives
}

// tellPending tells the instances that may still use a primary of the withdrawal, and records
// which of them have stopped.
func (m *Monitor) tellPending(w *epoch.Withdrawal, gateways map[model.InstanceID]plan.Instance, withdrawal uint64) {
	now, pending := clock.Now(), w.Pending()
	stopped := make(chan model.InstanceID, len(pending))
	for _, id := range pending {
		go func() {
			if !m.config.Gateways.Withdraw(now, gateways[id], m.config.Service, withdrawal) {
				id = ""
			}
			stopped <- id
		}()
	}
	for range pending {
		w.Stopped(<-stopped)
	}
}
