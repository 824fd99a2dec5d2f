package hold

import "time"

const (
	// meanWeight and deviationWeight are the weights of a new observation in the moving averages
	// of a span.
	meanWeight      = 0.25
	deviationWeight = 0.25
	// deviations is the number of mean deviations by which the estimate exceeds the mean.
	deviations = 2
	// minSpan and maxSpan are the limits of an estimate.
	minSpan = 50 * time.Millisecond
	maxSpan = 4 * time.Second
)

// span estimates how long something takes from how long it took before.
type span struct {
	mean, deviation time.Duration
	observed        bool
}

// observe adds an observation. The first one replaces the initial values.
func (s *span) observe(took time.Duration) {
	if !s.observed {
		s.mean, s.deviation, s.observed = took, took/4, true
		return
	}
	difference := took - s.mean
	s.mean += time.Duration(meanWeight * float64(difference))
	s.deviation += time.Duration(deviationWeight * float64(difference.Abs()-s.deviation))
}

// estimate returns a length that is seldom exceeded.
func (s *span) estimate(initial time.Duration) time.Duration {
	if !s.observed {
		return initial
	}
	return min(max(s.mean+deviations*s.deviation, minSpan), maxSpan)
}
