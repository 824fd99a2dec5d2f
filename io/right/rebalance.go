package right

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"pomelofork/core/pace"
	"pomelofork/core/plan"
	"pomelofork/io/view"
)

// rebalance transfers rights that other instances should hold: all but one of a SpreadGroup,
// those that avoid the failure domain of this instance, and non-urgent ones when this instance holds far more than its share. That is needed because
// the first instance of a fleet acquires all rights before the others have started.
func (mgr *Manager) rebalance(ctx context.Context, now time.Time) {
	if now.Before(mgr.rebalanceAt) {
		return
	}
	mgr.rebalanceAt = now.Add(rebalanceInterval)
	state := mgr.config.View.State()
	mgr.mu.Lock()
	valid := now.Before(mgr.validUntil) && !mgr.leaving
	mgr.mu.Unlock()
	names := mgr.heldNames()
	others := mgr.others(state)
	if !valid || len(others) == 0 {
		return
	}
	recipients := mgr.groupTransfers(state, names, others)
	mgr.addSpread(state, names, others, recipients)
	mgr.addAvoided(names, others, recipients)
	if len(recipients) >= maxRights {
		mgr.rebalanceAt = now.Add(fullBatchInterval)
	}
	mgr.addExcess(names, others, recipients)
	if len(recipients) == 0 {
		return
	}
	mgr.config.Log.LogAttrs(ctx, slog.LevelInfo, "transferring rights that other instances should hold", slog.Int("rights", len(names)), slog.Int("instances", len(others)+1), slog.Int("to_give", len(recipients)))
	mgr.transfer(ctx, now, recipients)
}

// groupTransfers returns the recipients of rights of which this instance holds another one of
// the same SpreadGroup. It returns one right of each group at a time, so that the others of the
// group stay usable during the transfer.
func (mgr *Manager) groupTransfers(state *view.State, names []string, others []plan.Instance) map[string]plan.Instance {
	held := holdersByGroup(state, mgr.wanted)
	kept, transferred := map[string]string{}, map[string]bool{}
	recipients := map[string]plan.Instance{}
	for _, name := range names {
		spec := mgr.wanted[name]
		other, found := kept[spec.SpreadGroup]
		if spec.SpreadGroup == "" || !found {
			kept[spec.SpreadGroup] = name
			continue
		}
		if spec.Domain == mgr.config.Self.Domain {
			// This right prefers the failure domain of this instance, so it stays instead of the
			// other one.
			spec, kept[spec.SpreadGroup] = mgr.wanted[other], name
		}
		candidates := slices.DeleteFunc(slices.Clone(others), func(i plan.Instance) bool { return held[spec.SpreadGroup][i.ID] })
		if next, ok := successor(spec, candidates); ok && !transferred[spec.SpreadGroup] {
			recipients[spec.Name], transferred[spec.SpreadGroup] = next, true
		}
	}
	return recipients
}

// addExcess adds recipients for non-urgent rights if this instance holds far more rights than
// its share.
func (mgr *Manager) addExcess(names []string, others []plan.Instance, recipients map[string]plan.Instance) {
	surplus := min(pace.ExcessRights(len(names), len(mgr.wanted), len(others)+1), maxRights) - len(recipients)
	for _, name := range names {
		spec := mgr.wanted[name]
		if surplus <= 0 {
			return
		}
		if _, ok := recipients[name]; ok || !spec.NonUrgent {
			continue
		}
		// An instance of an avoided failure domain would transfer the right back.
		if next, ok := successor(spec, others); ok && !spec.avoids(next) {
			recipients[name] = next
			surplus--
		}
	}
}
