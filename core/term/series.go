package term

import "pomelofork/core/model"

// SeriesStride is the distance between two successive terms of one series.
const SeriesStride model.Term = 1 << 20

// Series is an unlimited supply of terms that only one instance may use: the terms
// First, First+SeriesStride, First+2*SeriesStride and so on. An instance reserves its
// First once, before it needs it, in the platform's store. Two instances never have
// the same First, so no term is ever used twice, even while the store is unavailable.
type Series struct {
	// First is the smallest term of the series, less than SeriesStride. Zero means
	// that nothing is reserved.
	First model.Term
}

// Reserved reports whether the series holds any terms.
func (s Series) Reserved() bool { return s.First != 0 }

// After returns the smallest term of the series that is greater than t.
func (s Series) After(t model.Term) model.Term {
	if s.First > t {
		return s.First
	}
	return s.First + ((t-s.First)/SeriesStride+1)*SeriesStride
}
