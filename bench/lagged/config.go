package lagged

import "pomelofork/core/trial"

// Config describes one play.
type Config struct {
	// Seed is the seed of all random choices.
	Seed uint64
	// Queue uses the queue of core/wait for callers that compete for capacity.
	Queue bool
	// Contended uses core/pick as well, and puts reads at the primary behind its own work.
	Contended bool
	// Disabled are the mechanisms of core/pick that are switched off.
	Disabled trial.Disabled
	// Scale multiplies the rates of the load.
	Scale float64
	// LogStops makes the logs of the replicas stop for good, instead of lagging for some seconds.
	LogStops bool
}
