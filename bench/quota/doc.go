// Package quota measures, in virtual time, how the rate and burst of a client account
// can be kept over a fleet: the conserved shares of core/limit beside one central
// bucket, equal static shares, and one bucket per instance with periodic rebalancing.
// All get the same seeded arrivals. It counts wrongful refusals and overshoot.
package quota
