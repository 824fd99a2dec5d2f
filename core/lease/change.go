package lease

import (
	"slices"

	"pomelofork/core/model"
)

// Change is what a proposer wants to differ in the next epoch.
type Change struct {
	// Remove names members that go.
	Remove []model.InstanceID
	// Put holds members that join, or that replace the member of the same name.
	Put []Member
}

// IsEmpty reports whether the change changes nothing.
func (c Change) IsEmpty() bool { return len(c.Remove) == 0 && len(c.Put) == 0 }

// Next returns the record of the next epoch.
func (r Record) Next(c Change, changeID string) Record {
	next := Record{Epoch: r.Epoch + 1, ChangeID: changeID}
	for _, m := range r.Members {
		if c.touches(m.Instance) {
			next.Before = append(next.Before, m)
			continue
		}
		next.Members = append(next.Members, m)
	}
	for _, m := range c.Put {
		next.Members = append(next.Members, m)
		next.Changed = append(next.Changed, m.Instance)
	}
	slices.SortFunc(next.Members, compareMembers)
	slices.Sort(next.Changed)
	return next
}

// touches reports whether the member of that name doesn't stay as it is.
func (c Change) touches(id model.InstanceID) bool {
	return slices.Contains(c.Remove, id) ||
		slices.ContainsFunc(c.Put, func(m Member) bool { return m.Instance == id })
}
