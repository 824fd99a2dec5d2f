package term

import "time"

// Timing holds the durations by which a machine acts.
type Timing struct {
	// UnreachableAfter is the time without an answer after which a server counts as
	// unreachable. Statuses must arrive several times within it.
	UnreachableAfter time.Duration
	// FastPollAfter is the time without an answer of the primary after which all
	// servers are polled at once, so that the evidence is recent when it is needed.
	// It is longer than an answer usually takes. After FastPollLimit polling becomes
	// slow again.
	FastPollAfter, FastPollLimit time.Duration
	// PauseThreshold is the least time between two ticks which shows that this
	// process itself was paused. A server that did not answer during such a pause is
	// not suspected for it.
	PauseThreshold time.Duration
	// RankDelay is how much later each gateway acts than the one before it. It is
	// longer than a usual failover takes, so that two gateways do not interrupt each
	// other.
	RankDelay time.Duration
	// AttemptTimeout is how long one attempt may take before it is abandoned.
	AttemptTimeout time.Duration
	// RetryDelay is the wait after an attempt that failed.
	RetryDelay time.Duration
	// ContestedDelay is how long a group may have no primary, or a replica with a
	// newer promise than the primary's, before this instance acts. It leaves time for
	// an attempt of another gateway.
	ContestedDelay time.Duration
	// DrainMin and DrainMax are the least and the longest time for which a planned
	// change lets writes end.
	DrainMin, DrainMax time.Duration
	// ReserveRetry is the wait between two attempts to reserve terms.
	ReserveRetry time.Duration
}

// DefaultTiming suits a network with a one-way latency of about 1 ms.
var DefaultTiming = Timing{
	UnreachableAfter: 250 * time.Millisecond,
	FastPollAfter:    130 * time.Millisecond,
	FastPollLimit:    5 * time.Second,
	PauseThreshold:   100 * time.Millisecond,
	RankDelay:        50 * time.Millisecond,
	AttemptTimeout:   300 * time.Millisecond,
	RetryDelay:       50 * time.Millisecond,
	ContestedDelay:   200 * time.Millisecond,
	DrainMin:         15 * time.Millisecond,
	DrainMax:         500 * time.Millisecond,
	ReserveRetry:     time.Second,
}
