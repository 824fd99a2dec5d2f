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

// maxRestoredRights is the largest number of rights that are written again in one transaction, each
// with a condition, a put and two dependent entries.
const maxRestoredRights = 8

// registerAgain writes the held rights and the registration of this instance again, after the store
// was restored from an older copy. While its former lease is certainly valid no other instance may
// use the rights, so that they are held without a gap. The registration comes last: it tells the
// others that all rights of this instance have been written. registerAgain returns false if that
// failed.
func (mgr *Manager) registerAgain(ctx context.Context, now time.Time) bool {
	era := mgr.config.View.Era()
	if !mgr.LeaseValid(now) {
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "lease of a former era of the store has ended and its rights with it", slog.Uint64("era", era))
		mgr.dropLease()
		return true
	}
	mgr.mu.Lock()
	short := mgr.shortLease
	mgr.mu.Unlock()
	terms := leaseTerms(len(mgr.config.View.State().Instances), short)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := mgr.config.Table.Grant(callCtx, terms.TTL)
	if err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot obtain a lease after the restore of the store", slog.String("error", err.Error()))
		return false
	}
	if lease.Era != era {
		// The next update of the view is of a later era.
		return false
	}
	names := mgr.heldNames()
	for chunk := range slices.Chunk(names, maxRestoredRights) {
		if err := mgr.writeAgain(callCtx, now, chunk, lease); err != nil {
			mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "rights not written again after the restore of the store", slog.Any("rights", chunk), slog.String("error", err.Error()))
			return false
		}
	}
	value, err := mgr.registration(lease.TTL, era)
	if err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelError, "cannot encode the registration of this instance", slog.String("error", err.Error()))
		return false
	}
	put := store.Put{Key: mgr.config.View.InstanceKey(mgr.config.Self.ID), Value: value, Lease: lease.ID}
	if _, err := mgr.config.Table.Commit(callCtx, store.Txn{Era: era, Puts: []store.Put{put}}); err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "cannot register this instance after the restore of the store", slog.String("error", err.Error()))
		return false
	}
	mgr.mu.Lock()
	terms.TTL = lease.TTL
	mgr.lease, mgr.leaseEra, mgr.validUntil, mgr.terms = lease.ID, era, now.Add(lease.TTL), terms
	mgr.mu.Unlock()
	mgr.config.Log.LogAttrs(ctx, slog.LevelInfo, "registration and rights written again after the restore of the store", slog.Uint64("era", era), slog.Uint64("lease", uint64(lease.ID)), slog.Any("rights", names))
	return true
}

// dropLease forgets a lease that has ended, and the rights.
func (mgr *Manager) dropLease() {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.lease, mgr.validUntil, mgr.reported = 0, time.Time{}, false
	clear(mgr.held)
}

// writeAgain writes held rights again under a lease of the present era. A right that another
// instance has written in this era is lost.
func (mgr *Manager) writeAgain(ctx context.Context, now time.Time, names []string, lease store.Lease) error {
	era := lease.Era
	value, err := view.RightValue(mgr.config.Self.ID, era)
	if err != nil {
		return err
	}
	state := mgr.config.View.State()
	txn := store.Txn{Era: era}
	for _, name := range names {
		mgr.putRight(&txn, name, mgr.entryRevision(state, era, name), value, lease.ID)
		if mgr.config.Dependent != nil {
			txn.Puts = append(txn.Puts, mgr.config.Dependent(name, era)...)
		}
	}
	if !mgr.LeaseValid(now) {
		return errors.New("the former lease has ended")
	}
	revision, err := mgr.config.Table.Commit(ctx, txn)
	if errors.Is(err, store.ErrConflict) {
		return mgr.writeEachAgain(ctx, now, names, lease)
	}
	if err != nil {
		return err
	}
	mgr.setRevision(revision, names...)
	return nil
}

// writeEachAgain writes rights again one by one, after a conflict of one of them.
func (mgr *Manager) writeEachAgain(ctx context.Context, now time.Time, names []string, lease store.Lease) error {
	if len(names) == 1 {
		right, ok := mgr.config.View.State().Rights[names[0]]
		if ok && !right.Restored && store.Era(right.Revision) == lease.Era && right.Instance != mgr.config.Self.ID {
			mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "right lost", slog.String("right", names[0]), slog.String("holder", string(right.Instance)))
			mgr.forget(names[0])
			return nil
		}
		return store.ErrConflict
	}
	for _, name := range names {
		if err := mgr.writeAgain(ctx, now, []string{name}, lease); err != nil {
			return err
		}
	}
	return nil
}

// entryRevision returns the revision that the entry of a held right has in the present era, or zero
// if there is no entry.
func (mgr *Manager) entryRevision(state *view.State, era uint64, name string) uint64 {
	mgr.mu.Lock()
	h := mgr.held[name]
	mgr.mu.Unlock()
	if store.Era(h.revision) == era {
		return h.revision
	}
	if right, ok := state.Rights[name]; ok {
		if right.Restored {
			return right.RestoredRevision
		}
		return right.Revision
	}
	return state.StaleRights[name]
}
