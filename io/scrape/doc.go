// Package scrape collects the metrics of a fleet. It reads /debug/vars of the
// instances, stores snapshots as JSON lines, and feeds their counters into the error
// budgets of the service-level objectives.
package scrape
