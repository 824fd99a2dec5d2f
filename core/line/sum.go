package line

import "time"

// Sum is a sum of recent amounts that fades over a span. The zero value is zero. It isn't safe for
// concurrent use.
type Sum struct {
	value float64
	at    time.Time
}

// Add adds an amount.
func (s *Sum) Add(now time.Time, span time.Duration, amount float64) {
	s.value, s.at = s.Value(now, span)+amount, now
}

// Value returns the sum over about the last span.
func (s *Sum) Value(now time.Time, span time.Duration) float64 {
	return s.value * max(1-now.Sub(s.at).Seconds()/span.Seconds(), 0)
}
