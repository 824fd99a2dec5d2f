package eta

import "time"

// Estimate says when a statement would be answered at a server.
type Estimate struct {
	// Trip is the round trip, as far as it is longer than to the nearest servers.
	Trip time.Duration
	// Wait is the wait for a slot, with regard to the statements of this instance in flight. It is
	// for the comparison of servers.
	Wait time.Duration
	// Work and High are the mean and the high quantile of the time in a slot.
	Work, High time.Duration
	// Reported is the wait according to a recent report, or 0.
	Reported time.Duration
	// Known says that there is a recent report for the priority of the statement.
	Known bool
	// ClosedUntil is the time until which the server's gateway refuses statements like this one, as
	// far as known.
	ClosedUntil time.Time
	// ReturnAt is when the last caller that the gateway refused was told to return.
	ReturnAt time.Time
}

// Mean returns the expected time until the answer.
func (e Estimate) Mean() time.Duration { return e.Trip + e.Wait + e.Work }

// Possible reports whether the statement may be answered within the given time. Without a recent
// report it may.
func (e Estimate) Possible(now time.Time, left time.Duration) bool {
	return e.missing(now, left) <= 0
}

// returnAfter returns the time after which the caller of a statement that isn't possible now should
// return.
func (e Estimate) returnAfter(now time.Time, left time.Duration) time.Duration {
	return max(e.missing(now, left), e.ReturnAt.Sub(now))
}

// missing returns the time after which the statement could be answered within the time that it has
// left, or 0 if it can be now.
func (e Estimate) missing(now time.Time, left time.Duration) time.Duration {
	missing := max(e.ClosedUntil.Sub(now), 0)
	if e.Known {
		missing = max(missing, e.Trip+e.Reported+e.Work-left)
	}
	return missing
}
