package spare

import (
	"slices"
	"time"
)

const (
	// asideShare is the part of the time until its timeout in which a read must be able to start, so
	// that it isn't cut off while it runs.
	asideShare = 0.9
	// timeLeftFactor is the time that must be left until the deadline of a read, as a multiple of its
	// work.
	timeLeftFactor = 1.5
	// maxAside bounds the reads that stand aside at one server: more than its slots serve within the
	// longest usual timeout.
	maxAside = 512
	// minReturnAfter and maxReturnAfter are the limits of the time after which a caller is told to
	// return.
	minReturnAfter = 20 * time.Millisecond
	maxReturnAfter = 2 * time.Second
)

// Room holds the reads that stand aside at one primary. It isn't safe for concurrent use.
type Room[T any] struct {
	slots  int
	aside  []Read[T]
	shares shares
	// line is the work of the callers that were told to return, as of lineAt.
	line   time.Duration
	lineAt time.Time
}

// New returns the room of a server that runs this number of statements at the same time.
func New[T any](slots int) *Room[T] {
	return &Room[T]{slots: max(slots, 1), shares: shares{tags: map[shareKey]float64{}, virtual: map[int]float64{}}}
}

// Add lets a read stand aside until Next returns it. If it can't be served in time, Add returns false and
// the time after which the caller should return.
func (r *Room[T]) Add(now time.Time, read Read[T]) (time.Duration, bool) {
	ahead := time.Duration(0)
	for i := range r.aside {
		if !r.before(now, &read, &r.aside[i]) {
			ahead += r.aside[i].Work
		}
	}
	wait := ahead / time.Duration(r.slots)
	latest := time.Duration(asideShare * float64(read.Deadline.Sub(now)-read.Work))
	if wait > latest || len(r.aside) >= maxAside {
		return r.returnAfter(now, wait-max(latest, 0), read.Work), false
	}
	r.aside = append(r.aside, read)
	return 0, true
}

// returnAfter returns the time after which the caller of a refused read should return: when there is room
// behind the callers that were told before.
func (r *Room[T]) returnAfter(now time.Time, over, work time.Duration) time.Duration {
	if passed := now.Sub(r.lineAt); passed > 0 {
		r.line = max(r.line-min(passed, maxReturnAfter)*time.Duration(r.slots), 0)
		r.lineAt = now
	}
	after := max(over, 0) + r.line/time.Duration(r.slots)
	if after < maxReturnAfter {
		r.line += work
	}
	return min(max(after, minReturnAfter), maxReturnAfter)
}

// Next removes and returns the read to be run next, while a slot is free. waiting is the highest priority
// of the own work that waits, which is the lowest number. A read goes before own work of lower priority
// only.
func (r *Room[T]) Next(now time.Time, waiting int) (Read[T], bool) {
	best := -1
	for i := range r.aside {
		if best < 0 || r.before(now, &r.aside[i], &r.aside[best]) {
			best = i
		}
	}
	if best < 0 || r.aside[best].Priority >= waiting {
		return Read[T]{}, false
	}
	read := r.aside[best]
	r.aside = slices.Delete(r.aside, best, best+1)
	r.shares.take(read.key(), read.Work.Seconds(), read.Weight)
	return read, true
}

// before reports whether a goes before b: by priority, then what can meet its target, then by the shares
// of accounts, then by target.
func (r *Room[T]) before(now time.Time, a, b *Read[T]) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if lateA, lateB := a.late(now), b.late(now); lateA != lateB {
		return lateB
	}
	if tagA, tagB := r.shares.tag(a.key()), r.shares.tag(b.key()); tagA != tagB {
		return tagA < tagB
	}
	return a.Target.Before(b.Target)
}

// RemoveUnservable removes and returns the reads that can no longer be served before their deadline.
func (r *Room[T]) RemoveUnservable(now time.Time) []Read[T] {
	return r.remove(func(read *Read[T]) bool {
		return !now.Add(time.Duration(timeLeftFactor * float64(read.Work))).Before(read.Deadline)
	})
}

// Remove removes and returns the reads whose value matches.
func (r *Room[T]) Remove(match func(T) bool) []Read[T] {
	return r.remove(func(read *Read[T]) bool { return match(read.Value) })
}

// remove removes and returns the reads that match.
func (r *Room[T]) remove(match func(*Read[T]) bool) []Read[T] {
	var removed []Read[T]
	r.aside = slices.DeleteFunc(r.aside, func(read Read[T]) bool {
		if !match(&read) {
			return false
		}
		removed = append(removed, read)
		return true
	})
	return removed
}

// Len returns the number of reads that stand aside.
func (r *Room[T]) Len() int { return len(r.aside) }
