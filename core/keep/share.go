package keep

import "time"

// minSlotTime is the recent slot time from which a share of it counts. The first connections after a start
// would otherwise look like a shortage.
const minSlotTime = 2 * time.Second

// Share measures the part of a server's slot time that the opening of connections takes. The zero value is
// ready to use. It isn't safe for concurrent use.
type Share struct {
	opening, other time.Duration
	at             time.Time
}

// fade reduces what was measured before.
func (s *Share) fade(now time.Time) {
	factor := fading(now, s.at)
	s.opening, s.other, s.at = time.Duration(factor*float64(s.opening)), time.Duration(factor*float64(s.other)), now
}

// Opened records the opening of a connection.
func (s *Share) Opened(now time.Time, took time.Duration) {
	s.fade(now)
	s.opening += took
}

// Ran records a statement.
func (s *Share) Ran(now time.Time, took time.Duration) {
	s.fade(now)
	s.other += took
}

// Value returns the recent part, from 0 to 1, or 0 if little was measured.
func (s *Share) Value() float64 {
	if total := s.opening + s.other; total >= minSlotTime {
		return float64(s.opening) / float64(total)
	}
	return 0
}

const (
	// scarceFrom and scarceUntil are the parts of the slot time from which, and down to which, connections
	// count as scarce. Reads that keep to one replica make the part smaller by less than their ratio.
	scarceFrom  = 0.15
	scarceUntil = 0.08
)

// Scarcity is the belief whether the connections to the servers of a service are scarce, by the shares that
// their gateways report. The zero value is that they aren't.
type Scarcity struct{ scarce bool }

// Update takes the mean share of the servers and returns whether connections are scarce, and whether that
// has changed.
func (s *Scarcity) Update(share float64) (scarce, changed bool) {
	former := s.scarce
	s.scarce = share >= scarceFrom || (s.scarce && share > scarceUntil)
	return s.scarce, s.scarce != former
}
