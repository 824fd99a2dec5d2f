package route

import "time"

// outageWeight gives the newest outage a weight of 1/outageWeight in the running
// mean.
const outageWeight = 4

// OutageEstimator estimates how long a service will stay without a primary, so that
// work that cannot wait that long is refused at once. It is not safe for concurrent
// use.
type OutageEstimator struct {
	// mean is the running mean of the lengths of past outages.
	mean time.Duration
	// since is when the present outage began, if outage is true.
	since  time.Time
	outage bool
}

// OutageConfig holds the settings of an OutageEstimator.
type OutageConfig struct {
	// InitialMean is the length assumed before any outage was observed.
	InitialMean time.Duration
}

// NewOutageEstimator returns an estimator for a service that has a primary.
func NewOutageEstimator(c OutageConfig) *OutageEstimator {
	return &OutageEstimator{mean: c.InitialMean}
}

// Observe records whether there is a primary now.
func (e *OutageEstimator) Observe(now time.Time, primary bool) {
	switch {
	case primary && e.outage:
		e.mean += (now.Sub(e.since) - e.mean) / outageWeight
		e.outage = false
	case !primary && !e.outage:
		e.outage, e.since = true, now
	}
}

// Remaining returns the expected time until there is a primary, or zero if there is
// one now. An outage that has lasted longer than the mean is expected to last for
// another half of its present length.
func (e *OutageEstimator) Remaining(now time.Time) time.Duration {
	if !e.outage {
		return 0
	}
	age := now.Sub(e.since)
	return max(e.mean-age, age/2)
}
