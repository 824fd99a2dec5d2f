package hold

import "time"

const (
	// waitShare is the part of a statement's timeout in which it must be able to start, so that it
	// isn't cut off while it runs.
	waitShare = 0.75
	// maxRetryAfter is the longest time after which a caller is told to retry.
	maxRetryAfter = 2 * time.Second
	// initialWork is the slot time of a statement that is assumed until it has been measured.
	initialWork = 20 * time.Millisecond
	// workWeight is the weight of a new measurement in the moving average of the slot time.
	workWeight = 0.1
)

// Line is what waits at one instance for the primary of one service. The zero value is empty. It
// isn't safe for concurrent use.
type Line struct {
	// waiting is the number of statements that wait. rejected is the number of those rejected in
	// the present gap.
	waiting, rejected int
	work              time.Duration
}

// Request describes a statement that needs the primary.
type Request struct {
	Received time.Time
	Timeout  time.Duration
	// Slots is the number of statements that the new primary runs at the same time.
	Slots int
	// Instances is the number of instances whose callers share the slots.
	Instances int
}

// Enter decides whether a statement waits for a gap that is expected to end at the given time. If
// it doesn't, Enter returns the time after which its caller should retry. A statement that waits
// must Leave.
func (l *Line) Enter(now, gapEnd time.Time, r Request) (retryAfter time.Duration, ok bool) {
	if l.fits(l.waiting, gapEnd, r) {
		l.waiting++
		return 0, true
	}
	after := min(gapEnd.Sub(now)+time.Duration(l.waiting+l.rejected)*l.interval(r), maxRetryAfter)
	l.rejected++
	return after, false
}

// Stays reports whether a statement that waits still has enough time.
func (l *Line) Stays(gapEnd time.Time, r Request) bool { return l.fits(0, gapEnd, r) }

// Leave records that a statement no longer waits.
func (l *Line) Leave() { l.waiting-- }

// GapEnded records that the service has a primary.
func (l *Line) GapEnded() { l.rejected = 0 }

// Measure records how long a statement used a slot of a primary.
func (l *Line) Measure(took time.Duration) {
	if l.work == 0 {
		l.work = took
		return
	}
	l.work += time.Duration(workWeight * float64(took-l.work))
}

// fits reports whether a statement with the given number of statements before it can start in time.
func (l *Line) fits(before int, gapEnd time.Time, r Request) bool {
	start := gapEnd.Add(time.Duration(before) * l.interval(r))
	return start.Before(r.Received.Add(time.Duration(waitShare * float64(r.Timeout))))
}

// interval returns the mean time between two statements of this instance that the primary starts.
func (l *Line) interval(r Request) time.Duration {
	work := l.work
	if work == 0 {
		work = initialWork
	}
	return work * time.Duration(max(r.Instances, 1)) / time.Duration(max(r.Slots, 1))
}
