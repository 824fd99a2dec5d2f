package right

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"pomelofork/io/store"
	"pomelofork/io/view"
)

// maxRights is the largest number of rights in one transaction. Each right needs a condition and
// a put, and the store accepts 32 conditions and puts together.
const maxRights = 16

// acquireFree acquires the free rights that are due for this instance.
func (mgr *Manager) acquireFree(ctx context.Context, now time.Time) {
	state := mgr.config.View.State()
	mgr.mu.Lock()
	lease, era := mgr.lease, mgr.leaseEra
	valid := now.Before(mgr.validUntil) && !mgr.leaving
	mgr.mu.Unlock()
	if !valid || state.Plan == nil {
		return
	}
	mgr.updateFree(ctx, now, state, lease)
	if !mgr.config.View.Settled() || era != mgr.config.View.Era() {
		return
	}
	due := mgr.due(now, state)
	if len(due) == 0 {
		return
	}
	if !mgr.hasShortLease() && slices.ContainsFunc(due, func(f freeRight) bool { return isUrgent(f.spec.NonUrgent, len(state.Instances)) }) {
		if !mgr.pauseUnless(mgr.replaceLease(ctx, now, true)) {
			return
		}
		mgr.mu.Lock()
		lease = mgr.lease
		mgr.mu.Unlock()
	}
	// All of them are acquired in one transaction, since a slow store takes as long for one
	// right as for all, and usually no other instance acquires any of them. Only after a
	// conflict is each right tried in a transaction of its own.
	if mgr.acquire(ctx, now, lease, due...) || len(due) == 1 {
		return
	}
	for _, f := range due {
		mgr.acquire(ctx, now, lease, f)
	}
}

// updateFree updates the held and the free rights from the view, if the state or the lease has
// changed since the last time.
func (mgr *Manager) updateFree(ctx context.Context, now time.Time, state *view.State, lease store.LeaseID) {
	if !mgr.recheckAt.IsZero() && now.After(mgr.recheckAt) {
		mgr.recheckAt, mgr.comparedCounts = time.Time{}, view.ChangeCounts{}
	}
	if mgr.comparedCounts == state.ChangeCounts && mgr.comparedLease == lease {
		return
	}
	mgr.comparedCounts, mgr.comparedLease = state.ChangeCounts, lease
	mgr.logUnwritable(ctx, state)
	wanted := mgr.wantedRights(state)
	mgr.wanted = make(map[string]Spec, len(wanted))
	previous := mgr.free
	mgr.free = map[string]freeRight{}
	for _, spec := range wanted {
		mgr.wanted[spec.Name] = spec
		right, held := state.Rights[spec.Name]
		if held {
			mgr.applyHolder(ctx, now, spec, right, lease)
		} else {
			mgr.applyStale(ctx, spec.Name, state.StaleRights[spec.Name])
		}
		misplaced := held && !right.Restored && right.Instance == mgr.config.Self.ID && right.Lease != lease
		if held && !misplaced {
			continue
		}
		f, ok := previous[spec.Name]
		if !ok || f.misplaced != misplaced {
			f.since = now
		}
		f.spec, f.misplaced, f.revision = spec, misplaced, right.Revision
		mgr.free[spec.Name] = f
	}
}

// due returns the rights that this instance may acquire now, at most as many as fit in one
// transaction. Misplaced ones are due at once. A free right is due once it has been free for one rankDelay for each instance that
// ranks before this one.
func (mgr *Manager) due(now time.Time, state *view.State) []freeRight {
	if len(mgr.free) == 0 {
		return nil
	}
	var due []freeRight
	for name, f := range mgr.free {
		if f.misplaced && !mgr.isHeld(name) && len(due) < maxRights {
			due = append(due, f)
		}
	}
	if len(due) > 0 {
		return due
	}
	members := state.Members()
	_, registered := state.Instances[mgr.config.Self.ID]
	for name, f := range mgr.free {
		delays := int(now.Sub(f.since) / rankDelay)
		if registered {
			if _, ok := f.spec.preference().Position(name, mgr.config.Self, members, delays); !ok {
				continue
			}
		} else if delays < len(members) {
			continue
		}
		if mgr.isHeld(name) {
			continue
		}
		if due = append(due, f); len(due) == maxRights {
			break
		}
	}
	return due
}

// hasShortLease reports whether the present lease is the short one of a holder of urgent rights.
func (mgr *Manager) hasShortLease() bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.shortLease
}

// isHeld reports whether this instance held the right at the last update. Its lease may have
// expired since.
func (mgr *Manager) isHeld(name string) bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	_, ok := mgr.held[name]
	return ok
}

// applyHolder updates whether this instance holds a right, from its holder in the store. This is
// how it learns of a right that another instance transferred to it, and of one that it acquired
// in a call whose answer was lost.
func (mgr *Manager) applyHolder(ctx context.Context, now time.Time, spec Spec, right view.Right, lease store.LeaseID) {
	name := spec.Name
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	h, ok := mgr.held[name]
	switch {
	case right.Instance == mgr.config.Self.ID && right.Lease == lease:
		if !ok {
			h.since, h.nonUrgent, mgr.reported = now, spec.NonUrgent, false
			mgr.config.Log.LogAttrs(ctx, slog.LevelInfo, "right received", slog.String("right", name), slog.Uint64("revision", right.Revision))
		}
		if right.Revision > h.revision {
			h.revision = right.Revision
			mgr.held[name] = h
		}
	case ok && right.Revision > h.revision:
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "right lost", slog.String("right", name), slog.String("holder", string(right.Instance)))
		delete(mgr.held, name)
		mgr.reported = false
	}
}

// applyStale updates whether this instance holds a right whose entry, at a revision, names nobody: another
// writer has overwritten it. An entry of another era than the hold says nothing about it.
func (mgr *Manager) applyStale(ctx context.Context, name string, revision uint64) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if h, ok := mgr.held[name]; ok && revision > h.revision && store.Era(revision) == store.Era(h.revision) {
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "right lost: its entry names nobody", slog.String("right", name), slog.Uint64("revision", revision))
		delete(mgr.held, name)
		mgr.reported = false
	}
}

// expectedRevision returns the revision that the entry of a right has which this instance may
// acquire, or zero if there is no entry. The entry of a free right may be an older copy.
func expectedRevision(state *view.State, f freeRight) uint64 {
	if f.misplaced {
		return f.revision
	}
	return state.StaleRights[f.spec.Name]
}

// acquire acquires rights in one transaction, if all of them are still free or misplaced. It returns false if
// the store reported a conflict; after other errors it pauses the calls and returns true.
func (mgr *Manager) acquire(ctx context.Context, now time.Time, lease store.LeaseID, free ...freeRight) bool {
	var names []string
	state := mgr.config.View.State()
	txn := store.Txn{Era: mgr.config.View.Era()}
	value, err := view.RightValue(mgr.config.Self.ID, txn.Era)
	if err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelError, "cannot encode the holder of a right", slog.String("error", err.Error()))
		return true
	}
	for _, f := range free {
		names = append(names, f.spec.Name)
		mgr.putRight(&txn, f.spec.Name, expectedRevision(state, f), value, lease)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := mgr.config.Table.Commit(callCtx, txn)
	if err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelInfo, "rights not acquired", slog.Any("rights", names), slog.String("error", err.Error()))
		for _, f := range free {
			// The rankDelay before the next attempt starts now.
			mgr.free[f.spec.Name] = freeRight{spec: f.spec, since: now, misplaced: f.misplaced, revision: f.revision}
		}
		if errors.Is(err, store.ErrConflict) {
			return false
		}
		mgr.pauseUnless(false)
		return true
	}
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	for _, f := range free {
		// No other instance has held the right since it was found free.
		mgr.held[f.spec.Name] = heldRight{revision: revision, since: f.since, nonUrgent: f.spec.NonUrgent}
	}
	mgr.reported = false
	mgr.config.Log.LogAttrs(ctx, slog.LevelInfo, "rights acquired", slog.Any("rights", names), slog.Uint64("revision", revision))
	return true
}
