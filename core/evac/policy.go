package evac

import (
	"slices"
	"time"

	"pomelofork/core/model"
)

const (
	// movingDivisor, closedDivisor and sealedDivisor give the ends of the phases as parts of the bound:
	// a quarter, a half and three quarters. What is sent at the end of a phase arrives, and the slowest
	// instance learns of the evacuation, within the rest.
	movingDivisor, closedDivisor, sealedDivisor = 4, 2, 4
	sealedFactor                                = 3
	// movingSteps is the number of steps in which the share of the reads falls.
	movingSteps = 4
	// promotionShare is the part of the promotions a second that the platform accepts which
	// evacuations may use. The rest is for primaries that fail meanwhile.
	promotionShare = 0.5
	// ReturnAfter is the time after which callers are told to return if all servers of their service
	// are evacuated: long enough that they add no noticeable load, short enough that they return soon
	// after the domain.
	ReturnAfter = time.Second
)

// Policy holds the settings of evacuations.
type Policy struct {
	// Bound is the time after which nothing may reach the servers of an evacuated domain. Zero or less
	// means that domains are not evacuated.
	Bound time.Duration
	// PromotionsPerSecond is the number of promotions a second that the platform accepts. Zero or less
	// means that it isn't known.
	PromotionsPerSecond float64
	// AtOnce moves all reads at once, instead of in steps.
	AtOnce bool
	// Unpaced has all primaries replaced at once.
	Unpaced bool
}

// Phase returns the phase of a domain that has been evacuated since the given time. The zero time means
// that it isn't evacuated.
func (p Policy) Phase(now, since time.Time) Phase {
	if p.Bound <= 0 || since.IsZero() {
		return PhaseNone
	}
	switch elapsed := now.Sub(since); {
	case elapsed >= p.Bound/sealedDivisor*sealedFactor:
		return PhaseSealed
	case elapsed >= p.Bound/closedDivisor:
		return PhaseClosed
	case elapsed >= p.Bound/movingDivisor || p.AtOnce:
		return PhaseEmptying
	default:
		return PhaseMoving
	}
}

// Closed reports whether no statement of a caller may be sent to the servers of the domain.
func (p Policy) Closed(now, since time.Time) bool { return p.Phase(now, since) >= PhaseClosed }

// ClosedAt returns the time at which the domain is closed.
func (p Policy) ClosedAt(since time.Time) time.Time { return since.Add(p.Bound / closedDivisor) }

// Share returns the share of the reads that may go to a server of the domain although another server
// can run them, from 0 to 1.
func (p Policy) Share(now, since time.Time) float64 {
	switch p.Phase(now, since) {
	case PhaseNone:
		return 1
	case PhaseMoving:
		step := now.Sub(since) / max(p.Bound/movingDivisor/movingSteps, 1)
		return max(1-float64(max(step, 0)+1)/movingSteps, 0)
	default:
		return 0
	}
}

// Admits reports whether the statement with the given number is among a share of all. Consecutive
// numbers are spread evenly, so that the share also holds for few statements.
func Admits(share float64, number uint64) bool {
	const (
		// goldenRatio is the fractional part of the golden ratio times 2^64: its multiples are spread
		// evenly over the range.
		goldenRatio  = 0x9E3779B97F4A7C15
		mantissaBits = 53
	)
	return float64(number*goldenRatio>>(64-mantissaBits))/(1<<mantissaBits) < share
}

// HandOverAt returns when the primary of a service is to be handed over. services are those whose
// primaries are evacuated. The order follows from their names, so that the monitors on different
// instances agree on it.
func (p Policy) HandOverAt(since time.Time, service model.ServiceID, services []model.ServiceID) time.Time {
	if p.Unpaced {
		return since
	}
	rank := 0
	for _, other := range services {
		if other < service {
			rank++
		}
	}
	interval := p.Bound / movingDivisor / time.Duration(max(len(services), 1))
	if p.PromotionsPerSecond > 0 {
		interval = time.Duration(min(float64(time.Second)/(p.PromotionsPerSecond*promotionShare), float64(p.Bound)))
	}
	return since.Add(time.Duration(rank) * interval)
}

// AllClosed reports whether all the domains that have been evacuated since the given times are
// closed. It is false for none.
func (p Policy) AllClosed(now time.Time, since []time.Time) bool {
	return len(since) > 0 && !slices.ContainsFunc(since, func(at time.Time) bool { return !p.Closed(now, at) })
}
