package pooler

import (
	"log/slog"
	"time"

	"pomelofork/core/evac"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/ramp"
	"pomelofork/core/trial"
)

// Config holds the settings and dependencies of a pool.
type Config struct {
	// Server is the backend server.
	Server plan.Server
	// Disabled are the mechanisms that are switched off.
	Disabled trial.Disabled
	// Connections is the number of connections that the server accepts from all instances
	// together. Zero means 16.
	Connections int
	// Contended says that callers compete for the server, so that its slots are shared among client
	// accounts.
	Contended bool
	// Weight returns the weight of a client account's share. Nil means that all are equal.
	Weight func(model.AccountID) float64
	// Count is called with the outcome of each decision about a queued statement where callers compete
	// for the server: "queued", "refused", "refused_without_retry", "unservable" or "moved". The pool's
	// lock is held. Nil counts nothing.
	Count func(outcome string)
	// Dialer opens connections.
	Dialer Dialer
	// Observe is called with a point in the service's log that covers every commit
	// acknowledged before the given time. The pool's lock is held.
	Observe func(service model.ServiceID, at time.Time, point model.Point)
	// Latest returns the newest observed point of a service and its time, or false if none
	// was observed. The pool's lock is held.
	Latest func(service model.ServiceID) (time.Time, model.Point, bool)
	// Allows reports whether work of the service's primary that was requested under an epoch
	// may be sent to the server, and whether its answer may be passed on. The pool's lock is
	// held. Nil allows all.
	Allows func(now time.Time, epoch uint64) bool
	// Evacuation says what may be sent to the server while its failure domain is evacuated.
	Evacuation evac.Policy
	// Claim is what entitles this instance to send statements to the server while it is cold. Cold
	// updates it.
	Claim ramp.Claim
	// UsedUntil is the time until which another pool of this instance used the server, or zero.
	UsedUntil time.Time
	// ColdRefused is called for each statement that the server can't take in time because it is cold.
	// The pool's lock is held. Nil is not called.
	ColdRefused func()
	// Log records rejected statements and failures of connections.
	Log *slog.Logger
}
