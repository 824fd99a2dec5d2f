package epoch

import "time"

const (
	// PermitLife is the time after the last confirmation from which an instance uses no primary, unless
	// it has registered with a shorter one. A follower's copy of the store's content is confirmed more
	// often, unless the store fails.
	PermitLife = 2 * time.Second
	// ShortPermitLife is the same for an instance that has to bear the loss of a failure domain, where a
	// withdrawal waits for the permits of all gateways there. The instance has to be confirmed more
	// often than its copy of the store's content is, by the monitor of each primary that it uses.
	ShortPermitLife = time.Second
	// ClockSlack is the time that a withdrawal waits beyond the life of a permit.
	ClockSlack = 100 * time.Millisecond
)

// LifeOf returns the life of the permits of an instance that has registered with the given one. The
// longest is assumed of an instance that states none.
func LifeOf(registered time.Duration) time.Duration {
	if registered <= 0 || registered > PermitLife {
		return PermitLife
	}
	return registered
}

// Permit is what entitles an instance to use primaries. An instance without contact to the store
// loses it by itself.
type Permit struct {
	// Confirmed is the time as of which the instance's copy of the store's content was complete, or
	// as of which the instance that alone may withdraw the appointment said that it is in force.
	Confirmed time.Time
	// Registered is the time since which the instance has been registered without a gap.
	Registered time.Time
	// ValidUntil is the time until which the instance is certainly registered.
	ValidUntil time.Time
	// Life is the time after Confirmed from which the permit isn't in force. It is the one that the
	// instance has registered with, and at most PermitLife.
	Life time.Duration
}

// Valid reports whether the permit is in force. A copy from before a gap in the registration
// doesn't count, since others may have taken the instance as stopped in the gap.
func (p Permit) Valid(now time.Time) bool {
	return now.Sub(p.Confirmed) < p.Life && now.Before(p.ValidUntil) && !p.Confirmed.Before(p.Registered)
}

// Guard decides, at one instance, whether the work of one service's primary may be passed on.
// The zero value knows of no appointment. It isn't safe for concurrent use.
type Guard struct {
	epoch uint64
}

// Raise records that all epochs below the given one were withdrawn. It returns whether the guard
// didn't know that.
func (g *Guard) Raise(epoch uint64) bool {
	if epoch <= g.epoch {
		return false
	}
	g.epoch = epoch
	return true
}

// Allows reports whether work that was requested under an epoch may be sent to the primary, and
// whether its answer may be passed on. Every appointment in the instance's copy of the store's
// content must have been given to Raise.
func (g *Guard) Allows(now time.Time, permit Permit, epoch uint64) bool {
	return epoch >= g.epoch && permit.Valid(now)
}
