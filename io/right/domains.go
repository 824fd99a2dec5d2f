package right

import (
	"slices"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/io/view"
)

// avoids reports whether an instance is in the failure domain that the right avoids.
func (s Spec) avoids(inst plan.Instance) bool { return s.Avoid != "" && inst.Domain == s.Avoid }

// addAvoided adds recipients in other failure domains for held rights that avoid that of this
// instance, at most maxRights together with those that are there. Rights stay if all instances are
// in the avoided domain. A right doesn't go back and forth: its recipient learns of it from a copy of
// the store's content that is at least as recent as the one by which it was transferred.
func (mgr *Manager) addAvoided(names []string, others []plan.Instance, recipients map[string]plan.Instance) {
	for _, name := range names {
		spec := mgr.wanted[name]
		if _, ok := recipients[name]; ok || !spec.avoids(mgr.config.Self) || len(recipients) >= maxRights {
			continue
		}
		if next, ok := successor(spec, others); ok && !spec.avoids(next) {
			recipients[name] = next
		}
	}
}

// addSpread adds recipients for held rights of groups with SpreadDomains whose holders are in one
// failure domain with the holder of a right of the group with a lower name. The recipient is in a
// domain without any of them. Each move so reduces the number of rights that share a domain.
func (mgr *Manager) addSpread(state *view.State, names []string, others []plan.Instance, recipients map[string]plan.Instance) {
	moving := map[string]bool{}
	for name := range recipients {
		moving[mgr.wanted[name].SpreadGroup] = true
	}
	for _, name := range names {
		spec := mgr.wanted[name]
		if !spec.SpreadDomains || moving[spec.SpreadGroup] {
			continue
		}
		used, shared := mgr.groupDomains(state, spec)
		if !shared {
			continue
		}
		elsewhere := slices.DeleteFunc(slices.Clone(others), func(i plan.Instance) bool { return used[i.Domain] })
		if next, ok := successor(spec, elsewhere); ok {
			recipients[name], moving[spec.SpreadGroup] = next, true
		}
	}
}

// groupDomains returns the failure domains of the holders of a right's group, and whether one of
// the rights with a lower name is held in the domain of this instance.
func (mgr *Manager) groupDomains(state *view.State, spec Spec) (used map[model.Domain]bool, shared bool) {
	used = map[model.Domain]bool{}
	for name, other := range mgr.wanted {
		right, ok := state.Rights[name]
		if other.SpreadGroup != spec.SpreadGroup || !ok {
			continue
		}
		domain := mgr.config.Self.Domain
		if right.Instance != mgr.config.Self.ID {
			domain = state.Instances[right.Instance].Domain
		}
		used[domain] = true
		shared = shared || (name < spec.Name && domain == mgr.config.Self.Domain)
	}
	return used, shared
}
