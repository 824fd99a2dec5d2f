package view

import (
	"context"
	"log/slog"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/pace"
	"pomelofork/core/plan"
	"pomelofork/io/clock"
	"pomelofork/io/store"
)

const (
	// rewriteGrace is the time after a restore in which the operator and the backend servers write
	// again what was lost.
	rewriteGrace = expiryGrace
	// minSettleTime is the least time after a restore until rights that nobody has written again
	// count as free. It covers an instance that registered shortly before and isn't known here, as
	// long as the state was confirmed shortly before.
	minSettleTime = time.Second
	// outdatedAfter is the age of the last confirmation before a restore from which instances may have
	// registered that aren't known here.
	outdatedAfter = watchWait + 300*time.Millisecond
	// settlePoll is the interval at which it is checked whether the instances have registered again.
	settlePoll = 100 * time.Millisecond
	// goneMemory is the time for which a removed server is remembered. An older copy of the store
	// may contain its entry.
	goneMemory = time.Minute
)

// restore tracks what of the store's content was lost when it was restored from an older copy, and
// hasn't been written again yet. The View's lock guards it.
type restore struct {
	era uint64
	// seenAt is when the first content of the era was read. It is zero if the era began before this
	// process did.
	seenAt time.Time
	// quarantine is the time after seenAt at which no right is used any more that was held before.
	quarantine time.Duration
	settled    bool
	// blind says that nothing recent is known from before the restore, so that an instance which
	// isn't known here may hold a right.
	blind bool
	// planWritten says that the configuration was written in this era.
	planWritten bool
	// gone are the servers that were removed recently.
	gone map[model.ServerID]goneServer
}

// goneServer is the last report of a removed server.
type goneServer struct {
	report plan.Report
	at     time.Time
	// coldUntil is the time until which the server was cold, and drainingSince that since which it drained.
	coldUntil, drainingSince time.Time
}

// Era returns the era of the store's history that the state belongs to.
func (v *View) Era() uint64 { return store.Era(v.Revision()) }

// Settled reports whether every right that an instance may still use is known. For a while after the
// store was restored from an older copy, the entry of such a right may be missing.
func (v *View) Settled() bool { return v.settled.Load() }

// mayBeRestored reports whether the first content that this process reads may be that of a restored
// store, before those who ran before have written their entries again: some of them were written in
// a former era, or there are none although the fleet ran before.
func (v *View) mayBeRestored(b *stateBuilder) bool {
	return b.initial && (b.hasFormer || (v.config.Established && b.era > 0 && len(b.next.Instances) == 0))
}

// beginEra begins to track a restore. The state still has what was known before.
func (v *View) beginEra(ctx context.Context, now time.Time, b *stateBuilder) {
	quarantine := pace.HolderLease().TTL
	for _, right := range b.next.Rights {
		quarantine = max(quarantine, b.next.Instances[right.Instance].LeaseLife)
	}
	v.restore = restore{era: b.era, seenAt: now, quarantine: quarantine + pace.LeaseSlack, blind: b.initial || v.outdated(now), gone: v.restore.gone}
	// The entries of running servers may be missing as after an outage.
	v.lastFailure = now
	v.settled.Store(false)
	v.config.Log.LogAttrs(ctx, slog.LevelWarn, "store was restored from an older copy; what was known before stays in use until it is written again", slog.Uint64("era", b.era),
		slog.Int("instances", len(b.next.Instances)), slog.Int("rights", len(b.next.Rights)), slog.Int("servers", len(b.next.Servers)), slog.Duration("at_most", v.restore.quarantine))
	go func() {
		for ctx.Err() == nil && !v.settle(ctx, clock.Now(), b.era) {
			pause(ctx, settlePoll)
		}
		for ctx.Err() == nil && !v.settleEvacuations(ctx, clock.Now(), b.era) {
			pause(ctx, settlePoll)
		}
	}()
}

// outdated reports whether the state was last confirmed so long ago that instances may have
// registered since.
func (v *View) outdated(now time.Time) bool {
	confirmed, ok := v.FreshAsOf()
	return !ok || now.Sub(confirmed) > outdatedAfter
}

// settle drops what belongs to former eras, once the instances have registered again or can't use
// their rights any more. It returns whether that is done, or a later era has begun.
func (v *View) settle(ctx context.Context, now time.Time, era uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.restore.era != era || v.restore.settled {
		return true
	}
	current := v.state.Load()
	passed := now.Sub(v.restore.seenAt)
	if passed < minSettleTime || (passed < v.restore.quarantine && (v.restore.blind || !allRegistered(current, era))) {
		return false
	}
	b := newStateBuilder(now, current)
	b.era = era
	instances, rights := b.dropFormer()
	v.restore.settled = true
	v.state.Store(&b.next)
	v.config.Changed(b.next)
	v.settled.Store(true)
	v.config.Log.LogAttrs(ctx, slog.LevelInfo, "instances have written their entries again after the restore of the store", slog.Uint64("era", era), slog.Duration("after", passed),
		slog.Int("instances_dropped", instances), slog.Int("rights_dropped", rights))
	return true
}

// allRegistered reports whether all known instances have registered in an era.
func allRegistered(s *State, era uint64) bool {
	for _, inst := range s.Instances {
		if store.Era(inst.Revision) != era {
			return false
		}
	}
	return true
}

// confirm records that the state was complete as of at. After a restore that isn't so before the lost
// changes have been written again, which may not be known here: those of the operator, for the
// configuration, and those of instances, for the rest.
func (v *View) confirm(now, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := &v.restore
	if !r.seenAt.IsZero() && !r.planWritten && now.Sub(r.seenAt) < rewriteGrace {
		return
	}
	v.freshAsOf.Store(max(v.freshAsOf.Load(), at.UnixNano()))
	if r.seenAt.IsZero() || r.settled {
		v.completeAsOf.Store(max(v.completeAsOf.Load(), at.UnixNano()))
	}
}

// rememberGone records the last report of a removed server.
func (v *View) rememberGone(now time.Time, server plan.Server) {
	for id, g := range v.restore.gone {
		if now.Sub(g.at) > goneMemory {
			delete(v.restore.gone, id)
		}
	}
	if v.restore.gone == nil {
		v.restore.gone = map[model.ServerID]goneServer{}
	}
	v.restore.gone[server.ID] = goneServer{server.Report, now, server.ColdUntil, server.DrainingSince}
}

// isOutdated reports whether the entry of a server in a restored store is older than what was known
// of the server before.
func (v *View) isOutdated(b *stateBuilder, server plan.Server) bool {
	if known, ok := b.next.Servers[server.ID]; ok {
		return server.Report.OlderThan(known.Report)
	}
	gone, ok := v.restore.gone[server.ID]
	return ok && !gone.report.OlderThan(server.Report)
}
