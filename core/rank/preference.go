package rank

import (
	"slices"

	"pomelofork/core/model"
	"pomelofork/core/plan"
)

// Preference is what a task prefers of the failure domains of instances. The zero value prefers
// nothing.
type Preference struct {
	// Domain is the failure domain whose instances rank first, or empty.
	Domain model.Domain
	// Avoid is the failure domain whose instances rank last, or empty. It takes precedence over
	// Domain.
	Avoid model.Domain
}

// Order returns the members by weighted rendezvous hashing of the task, those in the preferred
// failure domain first and those in the avoided one last.
func (p Preference) Order(task string, members []plan.Instance) []plan.Instance {
	all := make([]candidate, 0, len(members))
	for _, m := range members {
		all = append(all, p.newCandidate(task, m))
	}
	slices.SortFunc(all, candidate.compare)
	ordered := make([]plan.Instance, 0, len(all))
	for _, c := range all {
		ordered = append(ordered, c.member)
	}
	return ordered
}

// Position returns how many of the members rank before self for the task. It stops and
// returns false once more than limit do, which is cheap: for most tasks the first few
// members examined already exceed a small limit.
func (p Preference) Position(task string, self plan.Instance, members []plan.Instance, limit int) (int, bool) {
	own, before := p.newCandidate(task, self), 0
	for _, m := range members {
		if m.ID != self.ID && p.newCandidate(task, m).compare(own) < 0 {
			if before++; before > limit {
				return before, false
			}
		}
	}
	return before, true
}

// newCandidate scores a member for a task.
func (p Preference) newCandidate(task string, m plan.Instance) candidate {
	c := candidate{m, tierOther, score(task, m)}
	switch m.Domain {
	case "":
	case p.Avoid:
		c.tier = tierAvoided
	case p.Domain:
		c.tier = tierPreferred
	}
	return c
}
