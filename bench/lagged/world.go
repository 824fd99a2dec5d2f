package lagged

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"pomelofork/core/model"
)

// world is the state of a play.
type world struct {
	now     time.Time
	seq     int
	events  events
	rng     *rand.Rand
	config  Config
	servers []*server
	result  Result
}

// after does something after a time.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, do})
}

// point returns the log point of commits up to a time.
func point(at time.Time) model.Point { return model.NewPoint(1, model.Position(at.UnixMilli())) }

// applied returns the time up to which a replica has applied commits.
func (w *world) applied() time.Time {
	t, usual := w.now.Sub(began), w.now.Add(-50*time.Millisecond)
	frozen := began.Add(lagFrom)
	lagged := func(at time.Time) time.Time {
		if s := at.Add(-lagDuration); s.After(frozen) {
			return s
		}
		return frozen
	}
	switch {
	case t < lagFrom:
		return usual
	case w.config.LogStops:
		return frozen
	case t < lagUntil:
		return lagged(w.now)
	}
	// Ten times as fast as commits come until it has caught up.
	if s := lagged(began.Add(lagUntil)).Add(10 * (t - lagUntil)); s.Before(usual) {
		return s
	}
	return usual
}
