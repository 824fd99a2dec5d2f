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
	command := stmt.Command{Op: stmt.OpStepDown, Term: m.term + 1}
	for range stepDownTries {
		answers, err := exchange(m.conn, statusTimeout, command)
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
		if !status.Primary {
			m.steppedDown = logEnd{primary, status.Received}
			m.config.Log.LogAttrs(ctx, slog.LevelInfo, "primary stepped down", slog.String("server", string(primary)), slog.String("point", status.Received.String()))
			return status.Received
		}
		// The term of the last point is lower than that of a primary that has written nothing yet.
		command.Term = status.Term + 1
	}
	m.config.Log.LogAttrs(ctx, slog.LevelWarn, "primary did not step down", slog.String("server", string(primary)), slog.Uint64("term", uint64(command.Term)))
	return model.Point{}
}

// promotion is the state of an attempt to promote a server.
type promotion struct {
	decision promo.Decision
	// servers are the service's servers. Those other than decision.Primary are sent command.
	servers []plan.Server
	command stmt.Command
	// syncReplicas is the number of replicas that must have received a commit before it is acknowledged.
	syncReplicas int
	// end is the end of the log of a primary that has stepped down, or zero.
	end model.Point
	// floor is the point that the promoted log is to hold, and until the time that replicas get to receive it.
	floor model.Point
	until time.Time
	// former is the former primary if its failure domain is evacuated.
	former    plan.Server
	evacuated bool
}

// newPromotion returns an attempt that follows from a decision. end is the end of the log of the primary
// if that has stepped down.
func (m *Monitor) newPromotion(decision promo.Decision, servers []plan.Server, end model.Point) *promotion {
	p := &promotion{decision: decision, servers: servers, command: stmt.Command{Op: stmt.OpStatus}, end: end, floor: end, until: clock.Now().Add(catchUpTimeout)}
	p.syncReplicas, _ = m.syncReplicas()
	if p.syncReplicas > 0 && end.IsZero() {
		// The primary may still be running, although this instance doesn't reach it. From their
		// answer on, the replicas must not acknowledge any more commits to it.
		p.command = stmt.Command{Op: stmt.OpPause, Term: m.term + 1}
	}
	if p.former, p.evacuated = evacuatedFormer(decision, servers); p.evacuated && (p.handOver() || p.syncReplicas == 0) {
		if known := m.floorOf(clock.Now(), p.former); p.floor.Less(known) {
			p.floor = known
		}
		if closed := m.config.Evacuation.ClosedAt(p.former.EvacuatedSince); closed.After(p.until) {
			p.until = closed
		}
	}
	return p
}

// handOver reports whether the primary is replaced as planned.
func (p *promotion) handOver() bool { return p.decision.Action == promo.ActionHandOver }

// keepsAll returns whether a promotion is certain to keep every acknowledged commit: the whole log of a
// primary that has stepped down, or else what the copies may have acknowledged. Without synchronous
// replicas any answer suffices.
func (p *promotion) keepsAll(replicas []promo.ReplicaLog, copies promo.CopySet) func(promo.ReplicaLog) bool {
	return func(promoted promo.ReplicaLog) bool {
		if p.syncReplicas > 0 && !p.end.IsZero() {
			return !promoted.Point.Less(p.end)
		}
		return promo.Covers(promoted, replicas, copies.Replicas(replicas), copies.SyncReplicas())
	}
}

// paused returns the answers of replicas that receive nothing any more, and of primaries. It returns
// false if the command to pause named too low a term for a server, and then raises the term.
func (p *promotion) paused(replicas []promo.ReplicaLog) ([]promo.ReplicaLog, bool) {
	if p.command.Op != stmt.OpPause {
		return replicas, true
	}
	var out []promo.ReplicaLog
	term := p.command.Term
	for _, r := range replicas {
		if r.Primary || r.Held >= p.command.Term {
			out = append(out, r)
		}
		term = max(term, r.Term+1)
	}
	raised := term > p.command.Term
	p.command.Term = term
	return out, !raised || len(out) == len(replicas)
}

// promoteBest promotes the replica that has received most of the log, as soon as one has received
// all of the log of a primary that has stepped down, or catchUpTimeout has passed. It promotes none
// unless the logs of those that answer are certain to hold every acknowledged commit.
//
// If the former primary is in an evacuated failure domain, the replicas get until that is closed to
// receive the rest of its log. None is promoted without it, unless the service replicates synchronously.
func (m *Monitor) promoteBest(ctx context.Context, p *promotion) {
	var best promo.ReplicaLog
	defer func() {
		if p.command.Op == stmt.OpPause {
			m.queryReplicas(ctx, p.decision.Primary, p.servers, stmt.Command{Op: stmt.OpResume})
		}
	}()
	for {
		if p.evacuated && !m.config.View.State().Servers[p.former.ID].Evacuated() {
			// The former primary, which has the whole log, is a candidate again.
			p.servers, p.evacuated, p.decision.Primary = m.servers(), false, ""
		}
		replicas, ok := p.paused(m.queryReplicas(ctx, p.decision.Primary, p.servers, p.command))
		if !ok {
			continue
		}
		if p.evacuated {
			var end model.Point
			if replicas, end = promo.SplitFormer(replicas, p.former.ID); p.syncReplicas == 0 && p.floor.Less(end) {
				p.floor = end
			}
		}
		late := clock.Now().After(p.until)
		copies := m.copies(p.syncReplicas)
		var covered, found bool
		if best, covered, found = promo.Choose(replicas, p.keepsAll(replicas, copies)); !found && len(replicas) > 0 {
			m.config.Log.LogAttrs(ctx, slog.LevelWarn, "all servers that answered are primaries of earlier terms or evacuated", slog.String("service", string(m.config.Service)))
			return
		}
		if covered && (late || !best.Point.Less(p.floor)) {
			break
		}
		if !covered && !p.mayWait(late) {
			m.waitUntil = clock.Now().Add(retryPause)
			m.config.Log.LogAttrs(ctx, slog.LevelWarn, "promotion waits: a server that didn't answer may have acknowledged commits", slog.String("service", string(m.config.Service)),
				slog.Int("answers", len(replicas)), slog.Any("missing", copies.Missing(replicas)), slog.Int("copies", len(copies.All())), slog.Int("sync_replicas", copies.SyncReplicas()),
				slog.String("server", string(best.Server.ID)), slog.String("point", best.Point.String()), slog.String("floor", p.floor.String()))
			return
		}
		time.Sleep(catchUpPollInterval)
	}
	if p.evacuated && p.syncReplicas == 0 && best.Point.Less(p.floor) {
		m.laggingUntil = clock.Now().Add(laggingPause)
		m.config.Log.LogAttrs(ctx, slog.LevelWarn, "no replica has the whole log of the primary in an evacuated failure domain, none is promoted", slog.String("service", string(m.config.Service)),
			slog.String("server", string(best.Server.ID)), slog.String("point", best.Point.String()), slog.String("floor", p.floor.String()))
		return
	}
	m.promote(ctx, best, p.floor)
}

// mayWait reports whether the replicas are asked again, after no promotion was certain to keep every
// acknowledged commit. A primary that has stepped down is asked too once its replicas have had their
// time: it has the whole log.
func (p *promotion) mayWait(late bool) bool {
	switch {
	case !p.handOver(), p.end.IsZero() && !p.evacuated:
		return false
	case !late:
		return true
	case p.syncReplicas == 0 || p.decision.Primary == "":
		return false
	default:
		p.decision.Primary = ""
		return true
	}
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
			results <- promo.ReplicaLog{Server: s, Point: status.Received, Term: status.Term, Held: status.Held, Primary: status.Primary}
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
