package limit

import "time"

// Draw is an ask that a wallet wants sent to the holder of a share.
type Draw struct {
	// Share is the share whose holder is asked.
	Share int
	// Ask is the message.
	Ask Ask
	// Sent is the time from which the grant's validity counts.
	Sent time.Time
	// Quiet says that no answer is waited for; only the reports matter.
	Quiet bool
}

// shareView is what a wallet knows of one share.
type shareView struct {
	level    Micro
	putOff   time.Time
	inFlight bool
	sent     time.Time
}

// open reports whether an ask makes sense now.
func (v *shareView) open(now time.Time) bool { return !v.inFlight && !now.Before(v.putOff) }
