package peer

import (
	"time"

	"pomelofork/core/lease"
)

// Timing holds the durations of a fleet.
type Timing struct {
	// Heartbeat is the pause between two heartbeats to the same peer.
	Heartbeat time.Duration
	// StorePoll is the pause between two reads of the store by a watcher.
	StorePoll time.Duration
	// Call bounds each call to a peer.
	Call time.Duration
	// StoreCall bounds each call to the store.
	StoreCall time.Duration
	// Silence is the time without a message after which a peer is suspected.
	Silence time.Duration
	// Absence is the time after which a silent member that is missing from the
	// platform's list is taken to have ended. It must be longer than the list lags.
	Absence time.Duration
	// Lease holds the durations of rights.
	Lease lease.Timing
}
