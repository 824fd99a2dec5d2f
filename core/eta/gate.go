package eta

import "time"

const (
	// triedOneIn is the number of statements, of those that no server can answer in time according
	// to the estimates, of which one is tried, so that a wrong estimate is found out.
	triedOneIn = 8
	// maxReturnAfter is the longest time after which a caller is told to return. Callers forget a
	// later time or give up before.
	maxReturnAfter = 2 * time.Second
	// minReturnAfter is the shortest time.
	minReturnAfter = 20 * time.Millisecond
)

// Option is a server that may run a statement.
type Option struct {
	Estimate Estimate
	// Slots is the number of statements that the server runs at the same time.
	Slots int
}

// Gate refuses the statements of one service that no server can answer in time. The zero value is
// ready to use. It isn't safe for concurrent use.
type Gate struct {
	hopeless uint64
	// line is the work of the callers that were told to return, as of lineAt.
	line   time.Duration
	lineAt time.Time
}

// Possible reports whether one of the servers may answer within the time left.
func Possible(now time.Time, left time.Duration, options []Option) bool {
	for _, o := range options {
		if o.Estimate.Possible(now, left) {
			return true
		}
	}
	return len(options) == 0
}

// Refuse decides whether a statement is refused at once. If so, it returns the time after which the
// caller should return. The callers are spread by what one of that many instances may send to the
// servers.
func (g *Gate) Refuse(now time.Time, left time.Duration, instances int, options []Option) (time.Duration, bool) {
	if Possible(now, left, options) {
		return 0, false
	}
	if g.hopeless++; g.hopeless%triedOneIn == 0 {
		return 0, false
	}
	shortest, slots, work := maxReturnAfter, 0, time.Duration(0)
	for _, o := range options {
		shortest = min(shortest, o.Estimate.returnAfter(now, left))
		slots += max(o.Slots, 1)
		work = max(work, o.Estimate.Work)
	}
	share := float64(slots) / float64(max(instances, 1))
	if !g.lineAt.IsZero() {
		g.line = max(g.line-time.Duration(share*float64(now.Sub(g.lineAt))), 0)
	}
	g.lineAt = now
	after := shortest + time.Duration(float64(g.line)/share)
	if after >= maxReturnAfter {
		return maxReturnAfter, true
	}
	g.line += work
	return max(after, minReturnAfter), true
}
