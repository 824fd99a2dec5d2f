package peer

import (
	"time"

	"pomelofork/core/lease"
)

// Timing holds the durations of a fleet. A zero field means the default.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval time.Duration
	// StorePollInterval is the time between two reads of the store by an instance that
	// reads it.
	StorePollInterval time.Duration
	// CallTimeout bounds each call to a peer.
	CallTimeout time.Duration
	// StoreCallTimeout bounds each call to the store.
	StoreCallTimeout time.Duration
	// SuspectAfter is the time without a message after which a peer is suspected to have
	// failed.
	SuspectAfter time.Duration
	// EndedAfter is the time after which a suspected member that is missing from the
	// platform's list of instances is taken to have ended. It must be longer than the list
	// lags.
	EndedAfter time.Duration
	// Lease holds the durations of rights.
	Lease lease.Timing
}
