package epoch

import (
	"slices"
	"time"

	"pomelofork/core/model"
)

// Withdrawal tracks which instances may still use a primary whose appointment was withdrawn. It
// isn't safe for concurrent use.
type Withdrawal struct {
	writtenAt time.Time
	// users are the registered instances that may use the primary, with the lives of their permits.
	// complete says that no others
	// were registered when the withdrawal was written.
	users    map[model.InstanceID]time.Duration
	complete bool
	stopped  map[model.InstanceID]bool
}

// NewWithdrawal returns the withdrawal of an appointment. writtenAt is a time at or after which the
// store had acknowledged the entry.
func NewWithdrawal(writtenAt time.Time) *Withdrawal {
	return &Withdrawal{writtenAt: writtenAt, stopped: map[model.InstanceID]bool{}}
}

// Observe sets the registered instances that may use the primary, with the lives of the permits that
// they have registered with, as known from a copy of the store's content. containsWithdrawal says that the copy has every change up to the withdrawal.
// Instances whose registration had ended before are not among them: they have stopped, and use no
// primary before they know of the withdrawal.
func (w *Withdrawal) Observe(containsWithdrawal bool, users map[model.InstanceID]time.Duration) {
	w.users, w.complete = users, containsWithdrawal
}

// Stopped records that an instance doesn't use the primary any more: it acknowledged the
// withdrawal, or its process has ended.
func (w *Withdrawal) Stopped(id model.InstanceID) { w.stopped[id] = true }

// Pending returns the sorted known instances that may still use the primary.
func (w *Withdrawal) Pending() []model.InstanceID {
	var ids []model.InstanceID
	for id := range w.users {
		if !w.stopped[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Left returns the time after which no instance uses the primary any more. It is zero once
// another server may be promoted. While instances may be registered that aren't known, their permits
// may be the longest.
func (w *Withdrawal) Left(now time.Time) time.Duration {
	life := PermitLife
	if w.complete {
		pending := w.Pending()
		if len(pending) == 0 {
			return 0
		}
		life = 0
		for _, id := range pending {
			life = max(life, w.users[id])
		}
	}
	return max(w.writtenAt.Add(life+ClockSlack).Sub(now), 0)
}
