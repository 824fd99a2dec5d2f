package term

import (
	"time"

	"pomelofork/core/model"
)

// maxLogSamples bounds the memory that a machine uses.
const maxLogSamples = 1024

// logSample says that the primary's log ended at or before log when its status was
// requested.
type logSample struct {
	requestedAt time.Time
	log         model.Point
}

// logHistory is the recent history of the primary's log, oldest first.
type logHistory struct{ samples []logSample }

// add appends a sample. If there are too many, it drops every second one of the older
// half, so that the same time span stays covered with fewer samples.
func (h *logHistory) add(requestedAt time.Time, log model.Point) {
	if n := len(h.samples); n > 0 {
		last := h.samples[n-1]
		if !requestedAt.After(last.requestedAt) || log.Less(last.log) {
			return
		}
		if last.log == log {
			h.samples[n-1].requestedAt = requestedAt
			return
		}
	}
	h.samples = append(h.samples, logSample{requestedAt: requestedAt, log: log})
	if len(h.samples) < maxLogSamples {
		return
	}
	kept := h.samples[:0]
	for i, one := range h.samples {
		if i >= maxLogSamples/2 || i%2 == 0 {
			kept = append(kept, one)
		}
	}
	h.samples = kept
}

// clampTimes lowers every time to at most t.
func (h *logHistory) clampTimes(t time.Time) {
	for i := range h.samples {
		if h.samples[i].requestedAt.After(t) {
			h.samples[i].requestedAt = t
		}
	}
}

// coveredAsOf returns the newest time as of which applied covered the whole log of
// the primary, and false if there is none.
func (h *logHistory) coveredAsOf(applied model.Point) (time.Time, bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if applied.Covers(h.samples[i].log) {
			return h.samples[i].requestedAt, true
		}
	}
	return time.Time{}, false
}
