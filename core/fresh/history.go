// Package fresh records, for one service, which log point covers every commit that
// was acknowledged before a given time. A read that accepts data of some age is sent
// with the oldest point that satisfies that age, so that a replica that lags a little
// can serve it.
//
// Load pattern: replicas fall seconds behind while reads arrive at the usual rate. If
// each read asked for the newest point, all of them would go to the primary.
package fresh

import (
	"time"

	"pomelofork/core/model"
)

const (
	// minSpacing is the least time between two stored observations. Replicas usually
	// lag by some tens of milliseconds, so a finer history would not let them serve
	// more reads.
	minSpacing = 50 * time.Millisecond
	// retention is the age after which an observation is dropped. No route accepts
	// older data.
	retention = 30 * time.Second
)

// observation states that point covers every commit acknowledged before at.
type observation struct {
	at    time.Time
	point model.Point
}

// History holds the observations of one service, oldest first. The zero value is
// empty and ready to use. It is not safe for concurrent use.
type History struct {
	observations []observation
}

// Add records that point covers every commit that was acknowledged before at. The
// point must come from a server that confirmed after at that it was the primary.
// Observations that are not newer than the newest one are ignored.
func (h *History) Add(at time.Time, point model.Point) {
	last := len(h.observations) - 1
	if last >= 0 && !at.After(h.observations[last].at) {
		return
	}
	if last >= 0 && point.Less(h.observations[last].point) {
		// A promotion dropped entries that the earlier observations cover. These
		// entries no longer count as commits, so the newer, lower point replaces all
		// earlier observations.
		h.observations = h.observations[:0]
		last = -1
	}
	// Replace the newest observation while it is closer than minSpacing to the one
	// before, so that the newest is always stored.
	if last >= 1 && h.observations[last].at.Sub(h.observations[last-1].at) < minSpacing {
		h.observations[last] = observation{at, point}
	} else {
		h.observations = append(h.observations, observation{at, point})
	}
	drop := 0
	for drop < len(h.observations)-1 && at.Sub(h.observations[drop].at) > retention {
		drop++
	}
	h.observations = h.observations[drop:]
}

// Newest returns the newest observation, and false if there is none.
func (h *History) Newest() (time.Time, model.Point, bool) {
	if len(h.observations) == 0 {
		return time.Time{}, model.Point{}, false
	}
	last := h.observations[len(h.observations)-1]
	return last.at, last.point, true
}

// OldestCovering returns the oldest stored point that covers every commit
// acknowledged before since. It returns false if no observation is that recent.
func (h *History) OldestCovering(since time.Time) (model.Point, bool) {
	for _, o := range h.observations {
		if !o.at.Before(since) {
			return o.point, true
		}
	}
	return model.Point{}, false
}
