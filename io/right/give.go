package right

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/rank"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

// doubtAfter is the time after which the store's content surely shows whether a transfer
// without an answer took place: a call that comes late, and the news of it.
const doubtAfter = 3 * time.Second

// successor returns who ranks first for a right among others.
func successor(want Want, others []plan.Instance) (plan.Instance, bool) {
	if len(others) == 0 {
		return plan.Instance{}, false
	}
	return rank.Order(want.Name, want.Domain, others)[0], true
}

// transfer returns the transaction that puts held rights under the leases of others. The
// lock is held.
func (k *Keeper) transfer(to map[string]plan.Instance) store.Txn {
	var txn store.Txn
	for name, next := range to {
		h, ok := k.held[name]
		value, err := view.RightValue(next.ID)
		if !ok || err != nil || len(txn.Puts) == maxEntries {
			continue
		}
		key := k.config.View.RightKey(name)
		txn.Expected = append(txn.Expected, store.Condition{Key: key, Revision: h.revision})
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value, Lease: store.LeaseID(next.Lease)})
	}
	return txn
}

// others returns the instances that can take a right.
func (k *Keeper) others(state *view.State) []plan.Instance {
	var out []plan.Instance
	for id, m := range state.Instances {
		if id != k.config.Self.ID && m.Lease != 0 {
			out = append(out, m)
		}
	}
	return out
}

// handOver gives all rights to the instances that rank next, under their leases.
func (k *Keeper) handOver(ctx context.Context) {
	state := k.config.View.State()
	others := k.others(state)
	to := map[string]plan.Instance{}
	for _, want := range k.config.Wants(state) {
		if next, ok := successor(want, others); ok {
			to[want.Name] = next
		}
	}
	k.mu.Lock()
	txn := k.transfer(to)
	k.mu.Unlock()
	if len(txn.Puts) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := k.config.Table.Commit(call, txn); err != nil {
		k.config.Log.LogAttrs(ctx, slog.LevelWarn, "rights not handed over, they are free when the lease ends", slog.String("error", err.Error()))
		return
	}
	k.config.Log.LogAttrs(ctx, slog.LevelInfo, "rights handed over", slog.Int("rights", len(txn.Puts)))
}

// give gives some rights away while this instance goes on. It stops using them first, so
// that they aren't used twice.
func (k *Keeper) give(ctx context.Context, now time.Time, to map[string]plan.Instance) {
	k.mu.Lock()
	txn := k.transfer(to)
	former := map[string]held{}
	for name := range to {
		if h, ok := k.held[name]; ok {
			former[name] = h
			delete(k.held, name)
		}
	}
	lease := k.lease
	k.told = false
	k.mu.Unlock()
	if len(txn.Puts) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := k.config.Table.Commit(call, txn)
	switch {
	case err == nil:
		for name, next := range to {
			k.config.Log.LogAttrs(ctx, slog.LevelInfo, "right given away", slog.String("right", name), slog.String("instance", string(next.ID)))
		}
	case errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrUnavailable):
		// Nothing was done. The next news tells if the rights aren't held any more.
		k.config.Log.LogAttrs(ctx, slog.LevelInfo, "rights not given away", slog.Int("rights", len(former)), slog.String("error", err.Error()))
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.lease != lease || k.leaving {
			return
		}
		for name, h := range former {
			k.held[name] = h
		}
	default:
		k.config.Log.LogAttrs(ctx, slog.LevelWarn, "rights perhaps given away", slog.Int("rights", len(former)), slog.String("error", err.Error()))
		k.doubt = now.Add(doubtAfter)
	}
}

// holders returns which instances hold rights that should lie apart, by their group.
func holders(state *view.State, wants map[string]Want) map[string]map[model.InstanceID]bool {
	out := map[string]map[model.InstanceID]bool{}
	for name, want := range wants {
		right, ok := state.Rights[name]
		if want.Apart == "" || !ok {
			continue
		}
		if out[want.Apart] == nil {
			out[want.Apart] = map[model.InstanceID]bool{}
		}
		out[want.Apart][right.Instance] = true
	}
	return out
}
