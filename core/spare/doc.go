// Package spare decides when a primary runs reads that a replica could run, beside the work that only
// it can run.
//
// Load pattern: the replicas of a service lag, and for some seconds all its reads come to the primary,
// several times what its slots can serve. In one queue with the writes, reads as urgent as the writes
// would take a share of their slots, although the reads have another place to go to soon and the writes
// have none. If all that doesn't fit was refused, callers would use up their returns while the lag may
// end at any time. So such reads stand aside: they get the slots for which no own work of their
// priority or a higher one waits. Only what couldn't be served before its timeout even if nothing else
// came is refused.
package spare
