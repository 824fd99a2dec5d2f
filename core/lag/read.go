package lag

import "time"

const (
	// maxReturnAfter is the longest time after which a caller is told to return. Callers forget a
	// later time or give up before.
	maxReturnAfter = 2 * time.Second
	// defaultReturnAfter is told where neither a replica nor the primary gives a time: about the
	// time after which a lag that was seen is seen again.
	defaultReturnAfter = 300 * time.Millisecond
)

// Action is what a read does while no replica has the point that it needs.
type Action uint8

// The actions.
const (
	// ActionPrimary sends the read to the primary, which may refuse it.
	ActionPrimary Action = iota
	// ActionWait waits for a replica.
	ActionWait
	// ActionRefuse refuses the read at once.
	ActionRefuse
)

// Replacement is a replica that may run the read later.
type Replacement struct {
	// At is when the replica will have caught up.
	At time.Time
	// Slots is the number of statements that it runs at the same time.
	Slots int
}

// Read is a read that no replica can run now.
type Read struct {
	// Target is the time by which it should be answered.
	Target time.Time
	// Work is its expected time in a slot, with the round trip.
	Work time.Duration
	// Waiting is the number of reads of the service that wait at this instance, and Instances the
	// number of instances, at each of which as many may wait.
	Waiting, Instances int
	// Replicas are those whose progress is known.
	Replicas []Replacement
	// Primary says that the service has a usable primary.
	Primary bool
	// PrimaryClosedUntil is the time until which the primary takes no reads of this priority, as
	// far as known.
	PrimaryClosedUntil time.Time
}

// Decide returns what the read does. The duration is that of the wait, or the time after which the
// caller of a refused read should return.
func Decide(now time.Time, r Read) (Action, time.Duration) {
	earliest := time.Time{}
	for _, replica := range r.Replicas {
		if earliest.IsZero() || replica.At.Before(earliest) {
			earliest = replica.At
		}
		// The reads that wait start together when the replica has caught up.
		waiting := time.Duration((r.Waiting+1)*max(r.Instances, 1)) * r.Work / time.Duration(max(replica.Slots, 1))
		if wait := replica.At.Sub(now); wait > 0 && !replica.At.Add(max(waiting, r.Work)).After(r.Target) {
			return ActionWait, wait
		}
	}
	if r.Primary && !now.Before(r.PrimaryClosedUntil) {
		return ActionPrimary, 0
	}
	after := time.Duration(0)
	for _, t := range []time.Time{earliest, r.PrimaryClosedUntil} {
		if d := t.Sub(now); d > 0 && (after == 0 || d < after) {
			after = d
		}
	}
	if after == 0 {
		after = defaultReturnAfter
	}
	return ActionRefuse, min(after, maxReturnAfter)
}
