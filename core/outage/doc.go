// Package outage decides from the answers of peers and backend servers when a failure domain has
// failed as a whole.
//
// Load pattern: a domain loses power, and everything in it falls silent in the same moment.
// Handled one by one, each lost server and each lost instance costs the callers a time-out of its
// own, and the monitors of the primaries wait as long as for one slow server each.
package outage
