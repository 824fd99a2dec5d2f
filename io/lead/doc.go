// Package lead monitors the primary of each service for which this instance holds the right to
// do so, and has a replica promoted when core/promo decides that. A right is a named exclusive
// role that one instance holds by lease. The probes of the primary also keep the service's
// newest point known while nothing is written.
package lead
