package line

import "time"

// Line is a line of refused callers that moves on with time. Places reserve nothing, so what a
// caller that doesn't return leaves goes to another one. The zero value is empty. It isn't safe for
// concurrent use.
type Line struct {
	// length is what the callers in the line need, as of movedAt.
	length  float64
	movedAt time.Time
}

// Length returns what the callers in the line need, if it moves at a rate per second.
func (l *Line) Length(now time.Time, perSecond float64) float64 {
	l.length = max(l.length-perSecond*now.Sub(l.movedAt).Seconds(), 0)
	l.movedAt = now
	return l.length
}

// Take returns the time until a caller is served that needs the given amount, if the line moves at
// a rate per second and its first place is served after the given time. The caller takes no
// place, and Take returns false, if that time reaches the limit.
func (l *Line) Take(now time.Time, perSecond, amount float64, first, limit time.Duration) (time.Duration, bool) {
	after := first + time.Duration(l.Length(now, perSecond)/perSecond*float64(time.Second))
	if after >= limit {
		return limit, false
	}
	l.length += amount
	return after, true
}
