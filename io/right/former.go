package right

import (
	"context"
	"errors"
	"log/slog"

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
	if !ok || former.Lease == 0 {
		return nil
	}
	var rights []formerRight
	for _, spec := range mgr.config.Wanted(state) {
		right, ok := state.Rights[spec.Name]
		if ok && right.Instance == mgr.config.Self.ID && uint64(right.Lease) == former.Lease && len(rights) < maxRights-1 {
			rights = append(rights, formerRight{spec, right.Revision})
		}
	}
	return rights
}

// keepRights moves the rights of the former run to a new lease, in one transaction with the puts of
// txn. It fails with store.ErrConflict if one of them isn't held by the former run any more.
func (mgr *Manager) keepRights(ctx context.Context, txn store.Txn, kept []formerRight, lease grantedLease) (uint64, error) {
	value, err := view.RightValue(mgr.config.Self.ID)
	if err != nil {
		return 0, err
	}
	for _, former := range kept {
		key := mgr.config.View.RightKey(former.spec.Name)
		txn.Expected = append(txn.Expected, store.Condition{Key: key, Revision: former.revision})
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value, Lease: lease.id})
	}
	return mgr.config.Table.Commit(ctx, txn)
}

// endFormerLease ends the lease of the former run of this instance, so that its rights are free.
func (mgr *Manager) endFormerLease(ctx context.Context, state *view.State) {
	former, ok := state.Instances[mgr.config.Self.ID]
	if !ok || former.Lease == 0 || former.Lease == uint64(mgr.unregistered.id) {
		return
	}
	if err := mgr.config.Table.End(ctx, store.LeaseID(former.Lease)); err != nil && !errors.Is(err, store.ErrNotFound) {
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "lease of the former run not ended", slog.String("error", err.Error()))
	}
}
