package lease

import (
	"slices"

	"pomelofork/core/model"
)

// Change is the difference between one record and the record of the next epoch, as a
// proposer wants it.
type Change struct {
	// Remove names the members to remove.
	Remove []model.InstanceID
	// Put holds the members to add, or to put in place of the member of the same name.
	Put []Member
}

// IsEmpty reports whether the change leaves the members as they are.
func (c Change) IsEmpty() bool { return len(c.Remove) == 0 && len(c.Put) == 0 }

// Next returns the record of the next epoch, which applies the change. changeID is the
// identifier of the compare-and-swap that writes it.
func (r Record) Next(c Change, changeID string) Record {
	next := Record{Epoch: r.Epoch + 1, ChangeID: changeID}
	for _, m := range r.Members {
		if c.affects(m.Instance) {
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

// affects reports whether the change removes or replaces the member with this name.
func (c Change) affects(id model.InstanceID) bool {
	return slices.Contains(c.Remove, id) ||
		slices.ContainsFunc(c.Put, func(m Member) bool { return m.Instance == id })
}
