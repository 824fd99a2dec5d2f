// Package slots measures how client accounts fare in front of scarce slots, in
// virtual time: the deficit round robin of core/fair beside first come, first
// served, on the same seeded arrivals.
package slots
