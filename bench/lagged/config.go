package lagged

// Config describes one play.
type Config struct {
	// Seed is the seed of all random choices.
	Seed uint64
	// Contended uses the rules for callers that compete for capacity. Otherwise those without.
	Contended bool
	// Scale multiplies the rates of the load.
	Scale float64
	// LogStops makes the logs of the replicas stop for good, instead of lagging for some seconds.
	LogStops bool
}
