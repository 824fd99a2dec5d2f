package reads

import (
	"fmt"
	"time"
)

// Config is one load on a group of three servers.
type Config struct {
	Seed uint64
	// Duration is the virtual time of the run.
	Duration time.Duration
	// Sessions is the number of sessions. Each one reads and writes in turn.
	Sessions int
	// Pause is the mean time between two statements of a session.
	Pause time.Duration
	// Writes is the part of statements that write.
	Writes float64
	// Ages are the ages that the reads' routes accept, each equally often.
	Ages []time.Duration
	// Lag is the mean time from a commit until a replica has applied it.
	Lag time.Duration
	// SpikeEvery and Spike describe a replica that falls behind now and then.
	SpikeEvery time.Duration
	Spike      time.Duration
	// Status is the time from a change at a server until the gateway knows it.
	Status time.Duration
	// Slots is the number of slots of each server, Cost the slot time of a statement.
	Slots int
	Cost  time.Duration
	// Patience is how long a read waits for a replica.
	Patience time.Duration
}

// The load of both deployments.
const (
	duration   = 60 * time.Second
	sessions   = 60
	pause      = 100 * time.Millisecond
	writes     = 0.2
	spikeEvery = 5 * time.Second
	spike      = 800 * time.Millisecond
	status     = 2 * time.Millisecond
	slots      = 1
	patience   = 4 * time.Millisecond
)

// lags and costs are by deployment.
var (
	lags  = map[string]time.Duration{"slamka": 3 * time.Millisecond, "levesque": 8 * time.Millisecond}
	costs = map[string]time.Duration{"slamka": 2 * time.Millisecond, "levesque": 3 * time.Millisecond}
)

// Load returns the load of a deployment.
func Load(deployment string, seed uint64) (Config, error) {
	lag, ok := lags[deployment]
	if !ok {
		return Config{}, fmt.Errorf("deployment %q isn't known", deployment)
	}
	return Config{
		Seed: seed, Duration: duration, Sessions: sessions, Pause: pause, Writes: writes,
		Ages: []time.Duration{0, 100 * time.Millisecond, time.Second, 10 * time.Second},
		Lag:  lag, SpikeEvery: spikeEvery, Spike: spike, Status: status, Slots: slots,
		Cost: costs[deployment], Patience: patience,
	}, nil
}
