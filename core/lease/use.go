package lease

import "time"

// HasAuthority reports whether this instance may act as a member of its newest known
// epoch. The caller must check it before and after the step that needs it.
//
// The validity of evidence counts from when the question was sent. So an instance that was
// paused, or that got its answers late, stops too early rather than too late, by its own
// clock.
func (mgr *Manager) HasAuthority(now time.Time) bool {
	e := mgr.newest()
	if e == nil || !e.record.Has(mgr.self) {
		return false
	}
	if now.Before(mgr.validUntil) {
		return true
	}
	asOf, ok := mgr.evidence.majorityAsOf(e.record.Members, e.record.Epoch, mgr.self, now)
	if mgr.storeEpoch > 0 && mgr.storeEpoch <= e.record.Epoch && mgr.storeAsked.After(asOf) {
		asOf, ok = mgr.storeAsked, true
	}
	if !ok {
		return false
	}
	if len(e.record.Members) > 1 {
		mgr.validUntil = asOf.Add(mgr.timing.EvidenceValidity)
	}
	return now.Before(asOf.Add(mgr.timing.EvidenceValidity))
}

// Holds reports whether this instance may use the right at now.
func (mgr *Manager) Holds(now time.Time, right Right) bool {
	e := mgr.newest()
	return e != nil && mgr.holdsIn(e.assignment, right) && mgr.owns(now, len(mgr.epochs)-1, right) && mgr.HasAuthority(now)
}

// Assigned reports whether the newest known record gives the right to this instance, even
// if it may not be used yet.
func (mgr *Manager) Assigned(right Right) bool {
	e := mgr.newest()
	return e != nil && mgr.holdsIn(e.assignment, right)
}

// owns reports whether no other instance can use the right under the epoch with index i or
// an earlier one, so that the holder in that epoch may use it.
func (mgr *Manager) owns(now time.Time, i int, right Right) bool {
	_, ok := mgr.ownedSince(now, i, right)
	return ok
}

// ownedSince returns the time from which owns has been true without interruption.
func (mgr *Manager) ownedSince(now time.Time, i int, right Right) (time.Time, bool) {
	e := mgr.epochs[i]
	if i > 0 && mgr.holdsIn(e.previousAssignment, right) {
		if since, ok := mgr.ownedSince(now, i-1, right); ok {
			return since, true
		}
	}
	if since, ok := e.handedOverAt[right]; ok {
		return since, true
	}
	wait := mgr.takeoverWait(i, right)
	return e.settledAt.Add(wait), e.settledFor(now, wait)
}

// OwnedSince returns the time from which this instance has owned a right that is assigned
// to it. It returns false while the right is not assigned or not owned yet.
func (mgr *Manager) OwnedSince(now time.Time, right Right) (time.Time, bool) {
	if !mgr.Assigned(right) {
		return time.Time{}, false
	}
	return mgr.ownedSince(now, len(mgr.epochs)-1, right)
}

// OwnedSinceAt returns the time from which this instance owned a right that it held at an
// epoch. It returns false while that is not so; this can turn true later, when the wait of
// that epoch is over.
func (mgr *Manager) OwnedSinceAt(now time.Time, right Right, epoch uint64) (time.Time, bool) {
	i, ok := mgr.index(epoch)
	if !ok || !mgr.holdsIn(mgr.epochs[i].assignment, right) {
		return time.Time{}, false
	}
	return mgr.ownedSince(now, i, right)
}

// takeoverWait returns the time, counted from when the epoch with index i was settled,
// after which every holder of an earlier epoch must have stopped.
func (mgr *Manager) takeoverWait(i int, right Right) time.Duration {
	if right.Kind != KindService || mgr.nobodyDrains(i, right) {
		return mgr.timing.TakeoverWait
	}
	return mgr.timing.TakeoverWait + mgr.timing.DrainTimeout
}

// nobodyDrains reports whether no former gateway can still be finishing work. That is so
// when no former member is left, or when the former holder is no longer a member and had
// held the right for so long that its own predecessors must have finished.
func (mgr *Manager) nobodyDrains(i int, right Right) bool {
	e := mgr.epochs[i]
	if !e.canDrain(mgr.self) {
		return true
	}
	former, ok := e.previousAssignment.Holder(right)
	if !ok || e.record.Has(former) || i == 0 {
		return false
	}
	return mgr.epochs[i-1].settledFor(e.learnedAt, mgr.timing.TakeoverWait+mgr.timing.DrainTimeout)
}

// MayFinish reports whether work that was begun under a right may go on after the right
// has moved to another instance.
func (mgr *Manager) MayFinish(now time.Time, right Right) bool {
	e := mgr.newest()
	if e == nil || mgr.holdsIn(e.assignment, right) || !mgr.HasAuthority(now) {
		return false
	}
	for i := len(mgr.epochs) - 1; i > 0; i-- {
		if mgr.holdsIn(mgr.epochs[i].previousAssignment, right) {
			return now.Sub(mgr.epochs[i].learnedAt) < mgr.timing.DrainTimeout
		}
	}
	return false
}
