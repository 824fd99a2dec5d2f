package lagged

import "time"

// began is the start of a play.
var began = time.Unix(1_000, 0)

const (
	// The replicas lag by lagDuration from lagFrom to lagUntil.
	lagFrom, lagUntil = 4 * time.Second, 10 * time.Second
	lagDuration       = 3 * time.Second
	// loadLength is the time in which operations start.
	loadLength = 16 * time.Second
	// maxAge is the age of data that reads accept.
	maxAge = time.Second
	// hop is the time of a message within a failure domain, and half of that to another one.
	hop = time.Millisecond
	// entries is the number of instances, and slots that of each server.
	entries = 7
	slots   = 6
)

// class is one priority of the load: its rates for a service, its work and limits, and the worth of an
// answer within the target, and after it but within the caller's own limit.
type class struct {
	reads, writes            float64
	work                     time.Duration
	target, timeout, patient time.Duration
	inTarget, late           float64
}

// classes are those of the known deployment, with assumed rates. All reads and writes take 1.9 times the slots of one
// server, and 64 % of those of all three; the writes take 45 % of one.
var classes = []class{
	{225, 45, 11 * time.Millisecond, 200 * time.Millisecond, time.Second, 2 * time.Second, 3.5, 0.71},
	{90, 30, 33 * time.Millisecond, 400 * time.Millisecond, time.Second, 2 * time.Second, 1.9, 0.47},
	{60, 22, 55 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 8 * time.Second, 0.47, 0.35},
}
