package hold

import "time"

const (
	// initialElection and initialPromotion are the lengths of the two phases of a gap that are
	// assumed until one has been observed.
	initialElection  = 500 * time.Millisecond
	initialPromotion = time.Second
	// overduePart is the part of the time passed by which a phase is expected to last longer, if
	// it has lasted longer than its estimate already.
	overduePart = 0.25
)

// Gap is the time in which a service has no primary.
type Gap struct {
	// Promoting says that a server has been appointed that doesn't report the role yet.
	Promoting bool
	// Since is when the service lost its primary, or when the server was appointed if Promoting.
	Since time.Time
}

// Forecast estimates the end of a gap from former gaps. The zero value knows of none. It isn't safe
// for concurrent use.
type Forecast struct {
	election, promotion span
}

// Observe records that a phase of a gap has ended.
func (f *Forecast) Observe(now time.Time, g Gap) {
	if took := now.Sub(g.Since); g.Promoting {
		f.promotion.observe(took)
	} else {
		f.election.observe(took)
	}
}

// End returns when the service is expected to have a primary again.
func (f *Forecast) End(now time.Time, g Gap) time.Time {
	promotion := f.promotion.estimate(initialPromotion)
	if g.Promoting {
		return phaseEnd(now, g.Since, promotion)
	}
	return phaseEnd(now, g.Since, f.election.estimate(initialElection)).Add(promotion)
}

// phaseEnd returns when a phase ends that usually takes as long as estimated.
func phaseEnd(now, since time.Time, estimated time.Duration) time.Time {
	if end := since.Add(estimated); now.Before(end) {
		return end
	}
	return now.Add(time.Duration(overduePart * float64(now.Sub(since))))
}
