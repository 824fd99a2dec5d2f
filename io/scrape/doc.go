// Package scrape collects the metrics of a fleet: it reads /debug/vars of the
// instances, keeps snapshots in a file of JSON lines, and turns the counters into
// the running counts of the service-level objectives.
package scrape
