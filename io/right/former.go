package right

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"pomelofork/core/epoch"
	"pomelofork/core/pace"
	"pomelofork/core/plan"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

// formerRight is a right that a former run of this instance holds according to the view.
type formerRight struct {
	spec     Spec
	revision uint64
}

// formerRights returns the rights under the lease of the former run of this instance, at most as
// many as fit in one transaction with the registration. That run has ended, so that nobody else
// uses them until the lease ends.
func (mgr *Manager) formerRights(state *view.State) []formerRight {
	former, ok := state.Instances[mgr.config.Self.ID]
	if !ok || former.Lease == 0 || store.Era(former.Revision) != mgr.config.View.Era() || mgr.config.Disabled.Has(trial.KeptRights) {
		// An entry that was restored from an older copy of the store proves nothing.
		return nil
	}
	var rights []formerRight
	for _, spec := range mgr.wantedRights(state) {
		right, ok := state.Rights[spec.Name]
		if ok && !right.Restored && right.Instance == mgr.config.Self.ID && uint64(right.Lease) == former.Lease && len(rights) < maxRights-1 {
			rights = append(rights, formerRight{spec, right.Revision})
		}
	}
	return rights
}

// reuseLease registers this instance under the lease of its former run, which saves the call for
// another one. It is for a former run without rights, whose lease has the usual lifetime. The
// registration is written again under the condition that it is still there: a peer that noticed
// the end of the former run removes it under the same condition. reuseLease returns false if the
// lease can't be reused.
func (mgr *Manager) reuseLease(ctx context.Context, now time.Time, state *view.State) bool {
	former, ok := state.Instances[mgr.config.Self.ID]
	terms := pace.MemberLease(len(state.Instances))
	if !ok || former.Lease == 0 || former.LeaseLife < terms.TTL || mgr.unregistered.id != 0 || mgr.holdsRights(state) {
		return false
	}
	era := mgr.config.View.Era()
	value, err := mgr.registration(former.LeaseLife, era)
	if err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelError, "cannot encode the registration of this instance", slog.String("error", err.Error()))
		return false
	}
	key := mgr.config.View.InstanceKey(mgr.config.Self.ID)
	_, err = mgr.config.Table.Commit(ctx, store.Txn{
		Era:      era,
		Expected: []store.Condition{{Key: key, Revision: former.Revision}},
		Puts:     []store.Put{{Key: key, Value: value, Lease: store.LeaseID(former.Lease)}},
	})
	if err == nil {
		err = mgr.config.Table.Renew(ctx, store.LeaseID(former.Lease))
	}
	if err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelInfo, "lease of the former run not reused", slog.Uint64("lease", former.Lease), slog.String("error", err.Error()))
		return false
	}
	mgr.recordRegistration(now, mgr.keptSince(state), grantedLease{id: store.LeaseID(former.Lease), era: era, until: now.Add(terms.TTL), terms: terms}, nil, 0)
	mgr.config.Log.LogAttrs(ctx, slog.LevelInfo, "registered under the lease of the former run", slog.Uint64("lease", former.Lease))
	return true
}

// keptSince returns the time since which this instance counts as registered if it takes over the
// registration of its former run. A withdrawal that began before waits only for the life of the
// permits that the former run had registered with.
func (mgr *Manager) keptSince(state *view.State) time.Time {
	if epoch.LifeOf(mgr.config.Self.PermitLife) > epoch.LifeOf(state.Instances[mgr.config.Self.ID].PermitLife) {
		return clock.Now()
	}
	return mgr.startedAt
}

// holdsRights reports whether the store names this instance as the holder of a right.
func (mgr *Manager) holdsRights(state *view.State) bool {
	for _, right := range state.Rights {
		if right.Instance == mgr.config.Self.ID {
			return true
		}
	}
	return false
}

// keepRights moves the rights of the former run to a new lease, in one transaction with the puts of
// txn. It fails with store.ErrConflict if one of them isn't held by the former run any more.
func (mgr *Manager) keepRights(ctx context.Context, txn store.Txn, kept []formerRight, lease grantedLease) (uint64, error) {
	value, err := view.RightValue(mgr.config.Self.ID, txn.Era)
	if err != nil {
		return 0, err
	}
	for _, former := range kept {
		mgr.putRight(&txn, former.spec.Name, former.revision, value, lease.id)
	}
	return mgr.config.Table.Commit(ctx, txn)
}

// EndLease removes the registration and the rights of an instance whose process has ended, and
// ends its lease. It fails with store.ErrConflict if they were written again since: then the
// instance runs again and uses the lease.
func (mgr *Manager) EndLease(ctx context.Context, inst plan.Instance) error {
	key := mgr.config.View.InstanceKey(inst.ID)
	txn := store.Txn{Era: mgr.config.View.Era(), Expected: []store.Condition{{Key: key, Revision: inst.Revision}}, Deletes: []string{key}}
	for name, right := range mgr.config.View.State().Rights {
		if right.Instance == inst.ID && uint64(right.Lease) == inst.Lease && len(txn.Deletes) < maxRights {
			key := mgr.config.View.RightKey(name)
			txn.Expected = append(txn.Expected, store.Condition{Key: key, Revision: right.Revision})
			txn.Deletes = append(txn.Deletes, key)
		}
	}
	if _, err := mgr.config.Table.Commit(ctx, txn); err != nil {
		return err
	}
	if err := mgr.config.Table.End(ctx, store.LeaseID(inst.Lease)); err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	return nil
}

// endFormerLease ends the lease of the former run of this instance, so that its rights are free.
func (mgr *Manager) endFormerLease(ctx context.Context, state *view.State) {
	former, ok := state.Instances[mgr.config.Self.ID]
	if !ok || former.Lease == 0 || former.Lease == uint64(mgr.unregistered.id) || store.Era(former.Revision) != mgr.config.View.Era() {
		return
	}
	if err := mgr.config.Table.End(ctx, store.LeaseID(former.Lease)); err != nil && !errors.Is(err, store.ErrNotFound) {
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "lease of the former run not ended", slog.String("error", err.Error()))
	}
}
