package lease

import (
	"time"
)

// epochState is what a Manager knows of one epoch.
type epochState struct {
	record             Record
	previousMembers    []Member
	assignment         *Assignment
	previousAssignment *Assignment
	learnedAt          time.Time
	// settledAt is when this instance first knew that more than half of the members of
	// this epoch and of the epoch before know this epoch. Zero means not yet.
	settledAt time.Time
	// handedOverAt holds, for each right that was handed over, when this instance learned
	// that the former holder no longer uses it.
	handedOverAt map[Right]time.Time
}

// newEpochState returns the state of an epoch whose record was learned at now.
func newEpochState(r Record, now time.Time) *epochState {
	previousMembers := r.Previous()
	return &epochState{
		record:             r,
		previousMembers:    previousMembers,
		assignment:         NewAssignment(r.Members),
		previousAssignment: NewAssignment(previousMembers),
		learnedAt:          now,
		handedOverAt:       map[Right]time.Time{},
	}
}

// settledFor reports whether the epoch has been settled for at least d.
func (e *epochState) settledFor(now time.Time, d time.Duration) bool {
	return !e.settledAt.IsZero() && now.Sub(e.settledAt) >= d
}

// canDrain reports whether a member other than self may still finish work under a right of
// an earlier epoch. Only members of this epoch that were members before may.
func (e *epochState) canDrain(self Member) bool {
	for _, m := range e.previousMembers {
		if !m.Is(self) && e.record.Has(m) {
			return true
		}
	}
	return false
}
