// Package reads measures, in virtual time, which part of the reads replicas can
// serve under the policy of core/route, beside reads at the primary only and beside
// naive round robin, and counts the reads that were stale.
package reads
