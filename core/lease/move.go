package lease

import "time"

// Released reports whether the right is free for the holder at the given epoch. This
// instance must have held it in the epoch before, no earlier holder may still use it, and
// this instance must not have got it back since. The caller must have made sure that this
// instance has no work left under the right.
func (mgr *Manager) Released(now time.Time, right Right, epoch uint64) bool {
	newest := mgr.newest()
	if newest == nil || newest.record.Epoch < epoch || epoch == 0 {
		return false
	}
	i, ok := mgr.index(epoch - 1)
	if !ok || !mgr.holdsIn(mgr.epochs[i].assignment, right) {
		return false
	}
	return mgr.owns(now, i, right) && !mgr.holdsAfter(i, right)
}

// holdsAfter reports whether this instance got the right back in an epoch after the one
// with index i.
func (mgr *Manager) holdsAfter(i int, right Right) bool {
	for _, e := range mgr.epochs[i+1:] {
		if mgr.holdsIn(e.assignment, right) {
			return true
		}
	}
	return false
}

// ReassignedAt returns the first epoch after the given one in which the right no longer
// belongs to this instance. It returns false when there is none, or when the given epoch
// is unknown.
func (mgr *Manager) ReassignedAt(right Right, epoch uint64) (uint64, bool) {
	i, ok := mgr.index(epoch)
	if !ok {
		return 0, false
	}
	for _, e := range mgr.epochs[i+1:] {
		if !mgr.holdsIn(e.assignment, right) {
			return e.record.Epoch, true
		}
	}
	return 0, false
}

// ConfirmHandover records that the former holder has handed the right over at an epoch, so
// that this instance need not wait. It returns false when that changes nothing.
func (mgr *Manager) ConfirmHandover(now time.Time, right Right, epoch uint64) bool {
	i, ok := mgr.index(epoch)
	if !ok || !mgr.holdsIn(mgr.epochs[i].assignment, right) || mgr.owns(now, i, right) {
		return false
	}
	mgr.epochs[i].handedOverAt[right] = now
	return true
}

// Waiting reports whether the right belongs to this instance but may not be used yet.
func (mgr *Manager) Waiting(now time.Time, right Right) bool {
	e := mgr.newest()
	return e != nil && mgr.holdsIn(e.assignment, right) && !mgr.owns(now, len(mgr.epochs)-1, right)
}

// FormerHolder returns which member can hand over a right that this instance holds at an
// epoch and may not use yet, and the epoch in which the right moved. It returns false when
// no member can, so that this instance has to wait.
func (mgr *Manager) FormerHolder(right Right, epoch uint64) (Member, uint64, bool) {
	last, ok := mgr.index(epoch)
	if !ok {
		return Member{}, 0, false
	}
	for i := last; i >= 0; i-- {
		e := mgr.epochs[i]
		if !mgr.holdsIn(e.assignment, right) {
			break
		}
		former, ok := e.previousAssignment.Holder(right)
		if !ok {
			break
		}
		if !former.Is(mgr.self) {
			return former, e.record.Epoch, true
		}
	}
	return Member{}, 0, false
}

// Reassigned reports whether the newest record takes the right away from this instance,
// which held it in the epoch before.
func (mgr *Manager) Reassigned(right Right) bool {
	e := mgr.newest()
	return e != nil && len(mgr.epochs) > 1 && mgr.holdsIn(e.previousAssignment, right) && !mgr.holdsIn(e.assignment, right)
}
