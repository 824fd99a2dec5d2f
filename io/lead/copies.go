package lead

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/level"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/promo"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
)

const (
	// settleTime is the time after which the copies of a service's log that a monitor has begun to record
	// count as complete. The entry of a running server that expired during an outage of the store is back
	// within two seconds of its return.
	settleTime = 3 * time.Second
	// copiesPause is the pause after the copies were not written, and between two questions to the
	// replicas whether they have what an ended copy may have acknowledged.
	copiesPause = time.Second
)

// syncReplicas returns the number of replicas that must have received a commit before it is
// acknowledged, and false while the configuration of the service isn't known.
func (m *Monitor) syncReplicas() (int, bool) {
	p := m.config.View.State().Plan
	if p == nil || p.Invalid(m.config.Service) {
		return 0, false
	}
	return p.SyncReplicas(m.config.Service), true
}

// copies returns the copies of the service's log: those that are recorded or were to be, and the
// registered servers.
func (m *Monitor) copies(syncReplicas int) promo.CopySet {
	state := m.config.View.State()
	return state.Copies[m.config.Service].Merge(m.unrecorded).With(state.Services[m.config.Service], syncReplicas)
}

// settled reports whether the recorded copies are all that may have acknowledged a commit. Instances
// of older builds record none, so that with them only what this monitor has seen itself counts.
func (m *Monitor) settled(now time.Time, copies promo.CopySet) bool {
	fleet, _ := level.Of(m.config.View.State().Instances)
	return copies.Settled() && fleet >= level.Copies || now.Sub(m.since) >= settleTime
}

// mustWait reports whether nothing may be done about the primary yet, because it isn't known who may
// have acknowledged commits.
func (m *Monitor) mustWait(ctx context.Context, now time.Time) bool {
	syncReplicas, known := m.syncReplicas()
	switch {
	case !known:
		m.waitUntil = now.Add(retryPause)
		m.config.Log.LogAttrs(ctx, slog.LevelWarn, "promotion waits: no configuration is known", slog.String("service", string(m.config.Service)))
		return true
	case syncReplicas == 0 || m.settled(now, m.copies(syncReplicas)):
		return false
	}
	m.waitUntil = m.since.Add(settleTime)
	m.config.Log.LogAttrs(ctx, slog.LevelWarn, "promotion waits: a server whose entry is missing may have acknowledged commits", slog.String("service", string(m.config.Service)),
		slog.Duration("left", m.waitUntil.Sub(now)))
	return true
}

// hasSuccessor reports whether a replica may take over from a primary that is to step down: it has
// what the primary had at the probe before the last one. The primary writes on until there is one. A
// service without synchronous replicas is handed over in any case.
func (m *Monitor) hasSuccessor(ctx context.Context, now time.Time, primary model.ServerID, servers []plan.Server) bool {
	if syncReplicas, _ := m.syncReplicas(); syncReplicas == 0 {
		return true
	}
	best, found := promo.MostAdvanced(m.queryReplicas(ctx, primary, servers, stmt.Command{Op: stmt.OpStatus}))
	if found && !best.Server.Draining && m.earlier.server == primary && !best.Point.Less(m.earlier.point) {
		return true
	}
	m.waitUntil = now.Add(retryPause)
	m.config.Log.LogAttrs(ctx, slog.LevelWarn, "hand-over waits: no replica is close to the end of the primary's log", slog.String("service", string(m.config.Service)),
		slog.String("server", string(best.Server.ID)), slog.String("point", best.Point.String()), slog.String("floor", m.earlier.point.String()))
	return false
}

// updateCopies records the servers that may hold acknowledged commits. ended are the copies that had
// ended before the primary was last probed. They are removed once enough replicas have all that the
// primary had then.
func (m *Monitor) updateCopies(ctx context.Context, now time.Time, servers []plan.Server, ended []promo.Copy) {
	syncReplicas, _ := m.syncReplicas()
	if syncReplicas == 0 || now.Before(m.copiesRetryAt) || !m.config.Current(now) {
		return
	}
	known := m.config.View.State().Copies[m.config.Service]
	next := m.copies(syncReplicas)
	if m.settled(now, next) {
		next = next.Settle()
	}
	if (len(ended) > 0 || next.SyncReplicas() < syncReplicas) && !m.reportedAt.Before(now) {
		m.copiesRetryAt = now.Add(copiesPause)
		answers := m.queryReplicas(ctx, m.reported.server, servers, stmt.Command{Op: stmt.OpStatus})
		if promo.Hold(answers, m.reported.point, syncReplicas) {
			next = next.Without(ended, syncReplicas)
			m.config.Log.LogAttrs(ctx, slog.LevelInfo, "replicas have what ended servers had acknowledged", slog.String("service", string(m.config.Service)),
				slog.Int("ended", len(ended)), slog.String("point", m.reported.point.String()))
		}
	}
	if m.unrecorded = (promo.CopySet{}); next.Equal(known) {
		return
	}
	if err := m.config.KeepCopies(ctx, next); err != nil {
		m.unrecorded = next
		m.copiesRetryAt = clock.Now().Add(copiesPause)
		m.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot record the copies of a service's log", slog.String("service", string(m.config.Service)), slog.String("error", err.Error()))
	}
}
