package lag

import "time"

const (
	// sampleLife is the age from which what was seen of a replica says nothing of its log now.
	sampleLife = 500 * time.Millisecond
	// speedSpan is the time over which the speed of a log is measured.
	speedSpan = 400 * time.Millisecond
	// minSpeedSpan is the least time between two samples from which a speed is computed. Points are
	// known by time to 50 ms, so that a shorter one would give mere noise.
	minSpeedSpan = 100 * time.Millisecond
	// minProbeInterval is the interval at which a replica that lags is tried at first: about the usual
	// lag. It doubles with each probe up to maxProbeInterval, since each of them costs a further attempt.
	minProbeInterval = 80 * time.Millisecond
	maxProbeInterval = 320 * time.Millisecond
	// maxSamples bounds the samples that are kept of one replica.
	maxSamples = 16
	// sampleSpacing is the least time between two samples that are kept.
	sampleSpacing = speedSpan / maxSamples
	// minSpeed is the speed of a log, in seconds of commits per second, below which it counts as
	// standing still.
	minSpeed = 0.1
)

// sample states that at a time the replica's log held every commit acknowledged before covered.
type sample struct{ at, covered time.Time }

// Replica is what is known of the progress of one replica's log. The zero value knows nothing. It
// isn't safe for concurrent use.
type Replica struct {
	samples  []sample
	probedAt time.Time
	// interval is the time after the last probe, or the last sample, from which another one may be
	// sent.
	interval time.Duration
}

// Observe records that at the given time the replica's log held every commit acknowledged before
// covered.
func (r *Replica) Observe(at, covered time.Time) {
	last := len(r.samples) - 1
	if last >= 0 && at.Before(r.samples[last].at) {
		return
	}
	switch {
	case last >= 0 && covered.Before(r.samples[last].covered):
		// The log was replaced, or the history of its points was. Its speed so far says nothing.
		r.samples = r.samples[:0]
	case last >= 1 && r.samples[last].at.Sub(r.samples[last-1].at) < sampleSpacing:
		r.samples = r.samples[:last]
	}
	r.samples = append(r.samples, sample{at, covered})
	if len(r.samples) > maxSamples+1 {
		r.samples = r.samples[1:]
	}
}

// CatchUp returns when the replica's log is expected to hold every commit acknowledged before
// wanted. It returns false if no such time is known, because too little was seen of the replica lately
// or because its log stands still.
func (r *Replica) CatchUp(now, wanted time.Time) (time.Time, bool) {
	if len(r.samples) == 0 {
		return time.Time{}, false
	}
	last := r.samples[len(r.samples)-1]
	if now.Sub(last.at) >= sampleLife {
		return time.Time{}, false
	}
	missing := wanted.Sub(last.covered)
	if missing <= 0 {
		r.interval = minProbeInterval
		return last.at, true
	}
	speed, ok := r.speed(last)
	if !ok || speed < minSpeed {
		return time.Time{}, false
	}
	return last.at.Add(time.Duration(float64(missing) / speed)), true
}

// speed returns the speed of the log until the last sample, in seconds of commits per second.
func (r *Replica) speed(last sample) (float64, bool) {
	for _, s := range r.samples {
		if span := last.at.Sub(s.at); span >= minSpeedSpan && span <= speedSpan {
			return last.covered.Sub(s.covered).Seconds() / span.Seconds(), true
		}
	}
	return 0, false
}

// MayProbe reports whether a statement may be sent to find out how far the log is.
func (r *Replica) MayProbe(now time.Time) bool {
	if r.interval == 0 {
		r.interval = minProbeInterval
	}
	if len(r.samples) > 0 && now.Sub(r.samples[len(r.samples)-1].at) < r.interval {
		return false
	}
	return now.Sub(r.probedAt) >= r.interval
}

// Probe records that such a statement is sent.
func (r *Replica) Probe(now time.Time) {
	r.probedAt = now
	r.interval = min(2*max(r.interval, minProbeInterval), maxProbeInterval)
}
