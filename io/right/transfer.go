package right

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

const (
	// handOverAttempts bounds the attempts to hand the rights over, and handOverPause is the pause between two, in
	// which the view learns who has left.
	handOverAttempts = 3
	handOverPause    = 50 * time.Millisecond
)

// unknownTransferDelay is the time after which the view shows for certain whether a transfer
// whose answer was lost took place. It covers a call that the store carries out late and the
// update that reports it.
const unknownTransferDelay = 3 * time.Second

// successor returns the instance that ranks first for a right. It returns false when there are
// no others.
func successor(spec Spec, others []plan.Instance) (plan.Instance, bool) {
	if len(others) == 0 {
		return plan.Instance{}, false
	}
	return spec.preference().Order(spec.Name, others)[0], true
}

// transferTxn returns the transaction that transfers rights to their recipients, under the
// recipients' leases, and the rights in it. Rights that this instance doesn't hold are left
// out. The caller holds mgr.mu.
func (mgr *Manager) transferTxn(names []string, recipients map[string]plan.Instance) (store.Txn, map[string]heldRight) {
	txn := store.Txn{Era: mgr.config.View.Era()}
	moved := map[string]heldRight{}
	for _, name := range names {
		h, ok := mgr.held[name]
		if !ok {
			continue
		}
		next := recipients[name]
		value, err := view.RightValue(next.ID, txn.Era)
		if err != nil {
			mgr.config.Log.LogAttrs(context.Background(), slog.LevelError, "cannot encode the holder of a right", slog.String("error", err.Error()))
			continue
		}
		mgr.putRight(&txn, name, h.revision, value, store.LeaseID(next.Lease))
		moved[name] = h
	}
	return txn, moved
}

// putRight adds the change of a right to a transaction, on the condition that its entry in the store
// has the given revision. Zero means that there is none.
func (mgr *Manager) putRight(txn *store.Txn, name string, revision uint64, value []byte, lease store.LeaseID) {
	key := mgr.config.View.RightKey(name)
	txn.Expected = append(txn.Expected, store.Condition{Key: key, Revision: revision})
	txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value, Lease: lease})
}

// others returns the other instances that may be given rights and have a lease to hold one by, granted
// in the present era of the store.
func (mgr *Manager) others(state *view.State) []plan.Instance {
	var out []plan.Instance
	for id, inst := range state.Instances {
		if mgr.config.Usable != nil && !mgr.config.Usable(inst) {
			continue
		}
		if id != mgr.config.Self.ID && inst.Lease != 0 && store.Era(inst.Revision) == mgr.config.View.Era() {
			out = append(out, inst)
		}
	}
	return out
}

// handOverAll transfers every held right to the instance that ranks next for it. A transfer that the store
// rejects is tried again, since a recipient may have left at the same time.
func (mgr *Manager) handOverAll(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	tried := mgr.heldNames()
	for range handOverAttempts {
		var rejected []string
		for names := range slices.Chunk(tried, maxRights) {
			err := mgr.handOver(callCtx, names)
			if errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict) {
				rejected = append(rejected, names...)
			}
		}
		if tried = rejected; len(tried) == 0 {
			return
		}
		select {
		case <-time.After(handOverPause):
		case <-callCtx.Done():
			return
		}
	}
}

// handOver transfers some held rights to the instances that rank next for them.
func (mgr *Manager) handOver(ctx context.Context, names []string) error {
	state := mgr.config.View.State()
	others := mgr.others(state)
	recipients := map[string]plan.Instance{}
	for _, spec := range mgr.wantedRights(state) {
		if _, held := slices.BinarySearch(names, spec.Name); !held {
			continue
		}
		if next, ok := successor(spec, others); ok {
			recipients[spec.Name] = next
		}
	}
	mgr.mu.Lock()
	txn, moved := mgr.transferTxn(slices.Sorted(maps.Keys(recipients)), recipients)
	mgr.mu.Unlock()
	if len(moved) == 0 {
		return nil
	}
	if _, err := mgr.config.Table.Commit(ctx, txn); err != nil {
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "rights not handed over; they become free when the lease ends", slog.Int("rights", len(moved)), slog.String("error", err.Error()))
		return err
	}
	mgr.config.Log.LogAttrs(ctx, slog.LevelInfo, "rights handed over", slog.Int("rights", len(moved)))
	return nil
}

// transfer transfers some rights while this instance keeps running, at most maxRights at a
// time. It stops using them first, so that no two instances use one of them at the same time.
func (mgr *Manager) transfer(ctx context.Context, now time.Time, recipients map[string]plan.Instance) {
	names := slices.Sorted(maps.Keys(recipients))
	mgr.mu.Lock()
	txn, moved := mgr.transferTxn(names[:min(len(names), maxRights)], recipients)
	for name := range moved {
		delete(mgr.held, name)
	}
	lease := mgr.lease
	mgr.reported = false
	mgr.mu.Unlock()
	if len(moved) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := mgr.config.Table.Commit(callCtx, txn)
	switch {
	case err == nil:
		for name := range moved {
			mgr.config.Log.LogAttrs(ctx, slog.LevelInfo, "right transferred", slog.String("right", name), slog.String("instance", string(recipients[name].ID)))
		}
	case errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrUnavailable):
		// The store made no change, so the rights are still held here. If another change in the
		// store took them, the next update of the view reports that.
		mgr.config.Log.LogAttrs(ctx, slog.LevelInfo, "rights not transferred", slog.Int("rights", len(moved)), slog.String("error", err.Error()))
		mgr.mu.Lock()
		defer mgr.mu.Unlock()
		if mgr.lease != lease || mgr.leaving {
			return
		}
		maps.Copy(mgr.held, moved)
	default:
		mgr.config.Log.LogAttrs(ctx, slog.LevelWarn, "unknown whether rights were transferred", slog.Int("rights", len(moved)), slog.String("error", err.Error()))
		mgr.recheckAt = now.Add(unknownTransferDelay)
	}
}

// holdersByGroup returns the instances that hold a right of each SpreadGroup.
func holdersByGroup(state *view.State, wanted map[string]Spec) map[string]map[model.InstanceID]bool {
	out := map[string]map[model.InstanceID]bool{}
	for name, spec := range wanted {
		right, ok := state.Rights[name]
		if spec.SpreadGroup == "" || !ok {
			continue
		}
		if out[spec.SpreadGroup] == nil {
			out[spec.SpreadGroup] = map[model.InstanceID]bool{}
		}
		out[spec.SpreadGroup][right.Instance] = true
	}
	return out
}
