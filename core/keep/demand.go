package keep

import (
	"maps"
	"math"
	"time"
)

const (
	// span is the time over which past uses fade to 1/e. It covers several uses by an account that uses a
	// server every few seconds.
	span = 15 * time.Second
	// minUses is the number of recent uses below which they are forgotten.
	minUses = 0.01
	// pruneInterval is the time between two searches for uses to forget.
	pruneInterval = time.Minute
)

// Demand records how often the holders of connections, which are identified by a key, use a server. The
// zero value is ready to use. It isn't safe for concurrent use.
type Demand[K comparable] struct {
	uses     map[K]uses
	prunedAt time.Time
}

// uses is the number of recent uses as of at.
type uses struct {
	count float64
	at    time.Time
}

// value returns the number of uses, faded until now.
func (u uses) value(now time.Time) float64 {
	return u.count * fading(now, u.at)
}

// fading returns the part that is left now of what was counted at a time.
func fading(now, at time.Time) float64 {
	return math.Exp(-max(now.Sub(at), 0).Seconds() / span.Seconds())
}

// Use records a use.
func (d *Demand[K]) Use(now time.Time, key K) {
	if d.uses == nil {
		d.uses = map[K]uses{}
	}
	if now.Sub(d.prunedAt) >= pruneInterval {
		maps.DeleteFunc(d.uses, func(_ K, u uses) bool { return u.value(now) < minUses })
		d.prunedAt = now
	}
	d.uses[key] = uses{d.uses[key].value(now) + 1, now}
}

// Uses returns the number of recent uses. It is proportional to the rate at which the next ones are
// expected.
func (d *Demand[K]) Uses(now time.Time, key K) float64 { return d.uses[key].value(now) }

// Len returns the number of keys that are remembered.
func (d *Demand[K]) Len() int { return len(d.uses) }
