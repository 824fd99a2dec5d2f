package pooler

import (
	"log/slog"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/trial"
)

// Config holds the settings and dependencies of a pool.
type Config struct {
	// Server is the backend server.
	Server plan.Server
	// Disabled are the mechanisms that are switched off.
	Disabled trial.Disabled
	// Contended says that callers compete for too little capacity at times. A primary then limits the
	// reads that it takes beside the work that only it can run.
	Contended bool
	// Connections is the number of connections that the server accepts from all instances
	// together. Zero means 16.
	Connections int
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
	// Log records rejected statements and failures of connections.
	Log *slog.Logger
}
