package spare

import "time"

// Read is a read that a replica could run.
type Read[T any] struct {
	// Value is returned to the owner of the room unchanged.
	Value    T
	Priority int
	// Work is its expected time in a slot.
	Work time.Duration
	// Target is the time by which it should be answered, and Deadline when its timeout expires.
	Target, Deadline time.Time
}

// late reports whether the read can no longer meet its target.
func (r *Read[T]) late(now time.Time) bool { return now.Add(r.Work).After(r.Target) }

// before reports whether a goes before b: by priority, then what can meet its target, then by target.
func before[T any](now time.Time, a, b *Read[T]) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if lateA, lateB := a.late(now), b.late(now); lateA != lateB {
		return lateB
	}
	return a.Target.Before(b.Target)
}
