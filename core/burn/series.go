package burn

import (
	"sort"
	"time"
)

// sample is a running count at one moment.
type sample struct {
	at    time.Time
	count Count
}

// Series is a running count over time. It keeps a bounded number of samples.
type Series struct {
	limit   int
	samples []sample
}

// SeriesConfig holds the settings of a series.
type SeriesConfig struct {
	// Limit is the number of samples kept, at least 2.
	Limit int
}

// NewSeries returns an empty series.
func NewSeries(c SeriesConfig) *Series { return &Series{limit: max(2, c.Limit)} }

// Add appends the running count as of now. A sample that isn't later than the last
// one is dropped.
func (s *Series) Add(now time.Time, running Count) {
	if n := len(s.samples); n > 0 && !now.After(s.samples[n-1].at) {
		return
	}
	s.samples = append(s.samples, sample{now, running})
	if len(s.samples) > s.limit {
		s.thin()
	}
}

// thin drops every second sample of the older half, so that long windows stay
// covered while recent ones keep their detail.
func (s *Series) thin() {
	half := len(s.samples) / 2
	kept := s.samples[:0]
	for i, one := range s.samples {
		if i >= half || i%2 == 0 {
			kept = append(kept, one)
		}
	}
	s.samples = kept
}

// Within returns what happened in the window that ends now. The window starts at
// the last sample before its start, or at the first sample there is.
func (s *Series) Within(now time.Time, window time.Duration) Count {
	end := s.before(now)
	if end < 0 {
		return Count{}
	}
	start := max(0, s.before(now.Add(-window)))
	return s.samples[end].count.Minus(s.samples[start].count)
}

// before returns the index of the last sample at or before the moment, or -1.
func (s *Series) before(moment time.Time) int {
	return sort.Search(len(s.samples), func(i int) bool { return s.samples[i].at.After(moment) }) - 1
}

// Span returns the times of the first and last sample, and false without any.
func (s *Series) Span() (first, last time.Time, ok bool) {
	if len(s.samples) == 0 {
		return first, last, false
	}
	return s.samples[0].at, s.samples[len(s.samples)-1].at, true
}
