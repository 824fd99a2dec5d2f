package fresh

import (
	"time"

	"pomelofork/core/model"
)

// CoveredUntil returns a time such that a log up to point holds every commit acknowledged before it. It
// is the newest one known. It returns false if none is known.
func (h *History) CoveredUntil(point model.Point) (time.Time, bool) {
	for i := len(h.observations) - 1; i >= 0; i-- {
		if o := h.observations[i]; !point.Less(o.point) {
			return o.at, true
		}
	}
	return time.Time{}, false
}

// ReachedAt returns the oldest known time by which the primary's log held point. It returns false if
// no observation is that recent.
func (h *History) ReachedAt(point model.Point) (time.Time, bool) {
	for _, o := range h.observations {
		if !o.point.Less(point) {
			return o.at, true
		}
	}
	return time.Time{}, false
}
