package lead

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/promo"
	"pomelofork/core/stmt"
	"pomelofork/io/clock"
)

// stepDown makes the primary stop writing, and returns the end of its log. It returns the zero
// point if that fails. The primary's term then ends with the promotion of a replica.
func (m *Monitor) stepDown(ctx context.Context, primary model.ServerID) model.Point {
	if m.conn == nil || m.connServer != primary {
		return model.Point{}
	}
	answers, err := exchange(m.conn, statusTimeout, stmt.Command{Op: stmt.OpStepDown, Term: m.term + 1})
	if err != nil {
		m.config.Log.LogAttrs(ctx, slog.LevelWarn, "primary did not step down", slog.String("server", string(primary)), slog.String("error", err.Error()))
		m.closeConn()
		return model.Point{}
	}
	status, err := m.config.Status.Status(answers[0])
	if err != nil {
		m.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot decode the answer to the command to step down", slog.String("server", string(primary)), slog.String("error", err.Error()))
		return model.Point{}
	}
	m.steppedDown = logEnd{primary, status.Received}
	m.config.Log.LogAttrs(ctx, slog.LevelInfo, "primary stepped down", slog.String("server", string(primary)), slog.String("point", status.Received.String()))
	return status.Received
}

// promoteBest promotes the replica that has received most of the log, as soon as one has received
// everything up to minPoint or catchUpTimeout has passed. It promotes none unless the logs of those that
// answer are certain to hold every acknowledged commit.
//
// If the former primary is in an evacuated failure domain, the replicas get until that is closed to
// receive the rest of its log. None is promoted without it, unless the service replicates synchronously.
func (m *Monitor) promoteBest(ctx context.Context, decision promo.Decision, servers []plan.Server, minPoint model.Point) {
	var best promo.ReplicaLog
	syncReplicas, _ := m.syncReplicas()
	command := stmt.Command{Op: stmt.OpStatus}
	if syncReplicas > 0 && decision.Action == promo.ActionReplace {
		// The primary may still be running, although this instance doesn't reach it. From their
		// answer on, the replicas must not acknowledge any more commits to it.
		command = stmt.Command{Op: stmt.OpPause, Term: m.term + 1}
	}
	handOver := decision.Action == promo.ActionHandOver
	former, evacuated := evacuatedFormer(decision, servers)
	floor, until := minPoint, clock.Now().Add(catchUpTimeout)
	if evacuated && (handOver || syncReplicas == 0) {
		if known := m.floorOf(clock.Now(), former); floor.Less(known) {
			floor = known
		}
		if closed := m.config.Evacuation.ClosedAt(former.EvacuatedSince); closed.After(until) {
			until = closed
		}
	}
	paused := false
	defer func() {
		if paused {
			m.queryReplicas(ctx, decision.Primary, servers, stmt.Command{Op: stmt.OpResume})
		}
	}()
	for {
		if evacuated && !m.config.View.State().Servers[former.ID].Evacuated() {
			// The former primary, which has the whole log, is a candidate again.
			servers, evacuated, decision.Primary = m.servers(), false, ""
		}
		paused = command.Op == stmt.OpPause
		replicas := m.queryReplicas(ctx, decision.Primary, servers, command)
		if evacuated {
			var end model.Point
			if replicas, end = promo.SplitFormer(replicas, former.ID); syncReplicas == 0 && floor.Less(end) {
				floor = end
			}
		}
		late := clock.Now().After(until)
		copies := m.copies(syncReplicas)
		var covered, found bool
		if best, covered, found = promo.Choose(replicas, copies.Replicas(replicas), copies.SyncReplicas()); !found && len(replicas) > 0 {
			m.config.Log.LogAttrs(ctx, slog.LevelWarn, "all servers that answered are primaries of earlier terms or evacuated", slog.String("service", string(m.config.Service)))
			return
		}
		if !covered && (late || !evacuated || !handOver) {
			m.waitUntil = clock.Now().Add(retryPause)
			m.config.Log.LogAttrs(ctx, slog.LevelWarn, "promotion waits: a server that didn't answer may have acknowledged commits", slog.String("service", string(m.config.Service)),
				slog.Int("answers", len(replicas)), slog.Any("missing", copies.Missing(replicas)), slog.Int("copies", len(copies.All())), slog.Int("sync_replicas", copies.SyncReplicas()),
				slog.String("server", string(best.Server.ID)), slog.String("point", best.Point.String()))
			return
		}
		if covered && (late || !best.Point.Less(floor)) {
			break
		}
		time.Sleep(catchUpPollInterval)
	}
	if evacuated && syncReplicas == 0 && best.Point.Less(floor) {
		m.laggingUntil = clock.Now().Add(laggingPause)
		m.config.Log.LogAttrs(ctx, slog.LevelWarn, "no replica has the whole log of the primary in an evacuated failure domain, none is promoted", slog.String("service", string(m.config.Service)),
			slog.String("server", string(best.Server.ID)), slog.String("point", best.Point.String()), slog.String("floor", floor.String()))
		return
	}
	m.promote(ctx, best, floor)
}

// promote appoints a replica and has the platform promote it. floor is the point that its log was to hold,
// for the log.
func (m *Monitor) promote(ctx context.Context, best promo.ReplicaLog, floor model.Point) {
	fence, err := m.config.Appoint(ctx, best.Server.ID)
	if err != nil {
		m.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot obtain a fence for a promotion", slog.String("service", string(m.config.Service)), slog.String("error", err.Error()))
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err = m.config.Promoter.Promote(callCtx, m.config.Service, best.Server.ID, fence)
	attrs := []slog.Attr{
		slog.String("service", string(m.config.Service)), slog.String("server", string(best.Server.ID)),
		slog.String("point", best.Point.String()), slog.String("floor", floor.String()), slog.Uint64("fence", fence),
	}
	if errors.Is(err, ErrFenced) {
		m.machine.PromotionFailed()
		m.config.Log.LogAttrs(ctx, slog.LevelWarn, "promotion refused", append(attrs, slog.String("error", err.Error()))...)
		time.Sleep(retryPause)
		return
	}
	m.machine.PromotionStarted(clock.Now(), best.Server.ID)
	if err != nil {
		m.config.Log.LogAttrs(ctx, slog.LevelWarn, "promotion requested, outcome unknown", append(attrs, slog.String("error", err.Error()))...)
		return
	}
	m.config.Log.LogAttrs(ctx, slog.LevelInfo, "promotion accepted", attrs...)
}

// queryReplicas sends a command to every server but one, and returns the ends of the
// logs of those that answer.
func (m *Monitor) queryReplicas(ctx context.Context, except model.ServerID, servers []plan.Server, command stmt.Command) []promo.ReplicaLog {
	results := make(chan promo.ReplicaLog, len(servers))
	queried := 0
	for _, s := range servers {
		// A server in an evacuated domain isn't paused, since the domain may be sealed before it is to
		// resume. Without a pause its log doesn't count.
		pauses := command.Op == stmt.OpPause || command.Op == stmt.OpResume
		if s.ID == except || (pauses && s.Evacuated()) || m.sealed(clock.Now(), s) {
			continue
		}
		queried++
		go func() {
			status, err := m.replicaStatus(ctx, s, command)
			if err != nil {
				m.config.Log.LogAttrs(ctx, slog.LevelInfo, "replica did not report its status", slog.String("server", string(s.ID)), slog.String("error", err.Error()))
				results <- promo.ReplicaLog{}
				return
			}
			results <- promo.ReplicaLog{Server: s, Point: status.Received, Term: status.Term, Primary: status.Primary}
		}()
	}
	var out []promo.ReplicaLog
	for range queried {
		if r := <-results; r.Server.ID != "" {
			out = append(out, r)
		}
	}
	return out
}

// replicaStatus sends a command to one replica and returns the status with which it answers.
func (m *Monitor) replicaStatus(ctx context.Context, server plan.Server, command stmt.Command) (stmt.Status, error) {
	conn, err := m.dial(ctx, server, statusTimeout)
	if err != nil {
		return stmt.Status{}, err
	}
	// An error doesn't matter, since the answer has been received or the command has failed.
	defer func() { _ = conn.Close() }()
	answers, err := exchange(conn, statusTimeout, command)
	if err != nil {
		return stmt.Status{}, err
	}
	return m.config.Status.Status(answers[0])
}
