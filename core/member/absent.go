package member

import (
	"time"

	"pomelofork/core/lease"
	"pomelofork/core/model"
)

// absence says since when a member has been both suspected and missing from the platform's
// list of instances.
type absence struct {
	incarnation uint64
	since       time.Time
}

// NeedsInstanceList reports whether some member is suspected, so that the platform's list
// of instances can tell whether its process has ended.
func (t *Tracker) NeedsInstanceList(now time.Time, members []lease.Member) bool {
	for _, m := range members {
		if t.IsSuspected(now, m) {
			return true
		}
	}
	return false
}

// ObserveInstanceList records the platform's list of instances, read at now. It returns
// the members whose processes have ended for certain: they were suspected and missing from
// each list for at least Config.EndedAfter, which is longer than the list lags. Without
// this the fleet could not go on when more than half of the members were removed at once
// and others started under new names.
func (t *Tracker) ObserveInstanceList(now time.Time, members []lease.Member, listed map[model.InstanceID]bool) []lease.Member {
	var ended []lease.Member
	absent := make(map[model.InstanceID]absence, len(t.absent))
	for _, m := range members {
		if listed[m.Instance] || !t.IsSuspected(now, m) {
			continue
		}
		a, ok := t.absent[m.Instance]
		if !ok || a.incarnation != m.Incarnation {
			a = absence{incarnation: m.Incarnation, since: now}
		}
		absent[m.Instance] = a
		if now.Sub(a.since) >= t.endedAfter {
			ended = append(ended, m)
		}
	}
	t.absent = absent
	return ended
}
