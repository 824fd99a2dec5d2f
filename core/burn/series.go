package burn

import (
	"sort"
	"time"
)

// sample is the count of all events up to one point in time.
type sample struct {
	at    time.Time
	count Count
}

// Series holds samples of a growing count over time. The number of samples is bounded.
type Series struct {
	limit   int
	samples []sample
}

// SeriesConfig holds the settings of a series.
type SeriesConfig struct {
	// Limit is the number of samples kept. Values below 2 count as 2.
	Limit int
}

// NewSeries returns an empty series.
func NewSeries(c SeriesConfig) *Series { return &Series{limit: max(2, c.Limit)} }

// Add appends a sample: the count of all events up to now. It ignores a sample that is not
// later than the last one.
func (s *Series) Add(now time.Time, count Count) {
	if n := len(s.samples); n > 0 && !now.After(s.samples[n-1].at) {
		return
	}
	s.samples = append(s.samples, sample{now, count})
	if len(s.samples) > s.limit {
		s.thin()
	}
}

// thin drops every second sample of the older half, so that the series still covers long
// windows while short, recent windows keep their resolution.
func (s *Series) thin() {
	half := len(s.samples) / 2
	kept := s.samples[:0]
	for i, each := range s.samples {
		if i >= half || i%2 == 0 {
			kept = append(kept, each)
		}
	}
	s.samples = kept
}

// Within returns the events in the window that ends now. It counts from the last sample at
// or before the start of the window, or from the first sample if all are later, to the
// last sample up to now.
func (s *Series) Within(now time.Time, window time.Duration) Count {
	end := s.before(now)
	if end < 0 {
		return Count{}
	}
	start := max(0, s.before(now.Add(-window)))
	return s.samples[end].count.Minus(s.samples[start].count)
}

// before returns the index of the last sample at or before the given time, or -1 if all
// are later.
func (s *Series) before(moment time.Time) int {
	return sort.Search(len(s.samples), func(i int) bool { return s.samples[i].at.After(moment) }) - 1
}

// Span returns the times of the first and the last sample, and false if there are none.
func (s *Series) Span() (first, last time.Time, ok bool) {
	if len(s.samples) == 0 {
		return first, last, false
	}
	return s.samples[0].at, s.samples[len(s.samples)-1].at, true
}
