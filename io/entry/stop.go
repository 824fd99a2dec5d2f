package entry

import (
	"time"

	"pomelofork/core/drain"
	"pomelofork/io/clock"
)

// Stop makes the entry unready and begins a planned stop. What the sessions do from now on follows
// the schedule.
func (e *Entry) Stop(schedule drain.Stop) {
	e.MarkUnready()
	e.schedule.Store(&schedule)
	// Sessions that wait in a transaction get the deadline of the schedule.
	for _, s := range e.openSessions() {
		s.wake()
	}
}

// Finish ends the sessions that are left. New ones are refused. It is to be called until all sessions are
// quiet, since a session may be about to wait for its caller.
func (e *Entry) Finish() {
	schedule := e.stopping().Finished()
	e.schedule.Store(&schedule)
	for _, s := range e.openSessions() {
		s.finish()
	}
}

// Quiet reports whether no session has work, and the callers of all open sessions have had the time to
// learn that these end.
func (e *Entry) Quiet(now time.Time) bool {
	for _, s := range e.openSessions() {
		if !s.quiet(now) {
			return false
		}
	}
	return true
}

// StopCounts are the counts of a planned stop.
type StopCounts struct {
	// Refused counts the sessions, statements and transactions that were refused, and Notified the
	// sessions whose callers were told that they end.
	Refused, Notified int64
}

// StopCounts returns the counts of the planned stop so far.
func (e *Entry) StopCounts() StopCounts {
	return StopCounts{Refused: e.stopRefused.Load(), Notified: e.stopNotified.Load()}
}

// Work is what the sessions of an entry have to do.
type Work struct {
	// Serving is the number of sessions with a statement that is being served, and InTransaction that of the
	// others with an open transaction.
	Serving, InTransaction int
}

// Work returns what the sessions have to do.
func (e *Entry) Work() Work {
	var w Work
	for _, s := range e.openSessions() {
		s.mu.Lock()
		switch {
		case s.busy:
			w.Serving++
		case s.inTx:
			w.InTransaction++
		}
		s.mu.Unlock()
	}
	return w
}

// stopping returns the schedule of the planned stop.
func (e *Entry) stopping() drain.Stop {
	if s := e.schedule.Load(); s != nil {
		return *s
	}
	return drain.Stop{}
}

// usualTime returns the time that counts for work of a route in the decisions of a stop.
func (e *Entry) usualTime(work drain.Work, route string, timeout time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch work {
	case drain.WorkSession:
		return 0
	case drain.WorkBegin:
		return e.usual.Transaction(route)
	default:
		return e.usual.Statement(route, timeout)
	}
}

// observeTransaction records how long a transaction took that its caller has ended.
func (e *Entry) observeTransaction(tx *transaction) {
	took := clock.Now().Sub(tx.begunAt)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usual.ObserveTransaction(tx.route.Name, took)
}
