package ramp

import (
	"time"

	"pomelofork/core/reach"
)

const (
	// sendDelay is the longest time that is expected between the decision to send a statement and
	// its sending, and by which two clocks may differ within a few seconds.
	sendDelay = 100 * time.Millisecond
	// span is the time over which statements are counted: the second of the limit, and a delay that
	// may differ between two statements.
	span = time.Second + sendDelay
	// maxViewAge is the age of the last confirmation of a view from which its instance sends nothing
	// to a cold server, because another one may be the gateway by then.
	maxViewAge = reach.StaleAfter
	// settling is the time for which a gateway must have been the first holder in its own view
	// before it sends anything to a cold server. A former gateway sends nothing after maxViewAge, and
	// what it sent last counts for one span more.
	settling = maxViewAge + span + sendDelay
	// elsewhereRetry is the time after which a caller is told to return if this instance isn't the
	// gateway: about the time in which all instances learn of a change.
	elsewhereRetry = 250 * time.Millisecond
)

// Claim is what entitles an instance to send statements to a cold server. The zero value means that
// there is no limit.
type Claim struct {
	// Limited says that the configuration and the settings state a limit. Otherwise the other fields
	// don't matter.
	Limited bool
	// Max is the number of statements that the server may get in any second. Zero means that the
	// limit is invalid.
	Max int
	// First says that this instance is the first holder of the server in its own view, as it has
	// been without interruption since Since.
	First bool
	Since time.Time
	// Confirmed is the time as of which the view was last confirmed to be complete, or zero.
	Confirmed time.Time
}

// counts reports whether the starts have to be counted.
func (c Claim) counts() bool { return c.Limited && c.Max > 0 }

// permits reports whether anything may be sent.
func (c Claim) permits(now time.Time) bool { return c.gateway(now) && !now.Before(c.settledAt()) }

// gateway reports whether this instance is the gateway in its own view, which is recent enough.
func (c Claim) gateway(now time.Time) bool { return c.First && now.Sub(c.Confirmed) <= maxViewAge }

// settledAt returns the time from which this instance may send, as long as it stays the gateway.
func (c Claim) settledAt() time.Time { return c.Since.Add(settling) }
