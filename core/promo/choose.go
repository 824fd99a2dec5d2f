package promo

// Choose returns the replica to promote, and whether its promotion is certain to keep every acknowledged
// commit, by the given function. MostAdvanced is preferred. If that isn't certain, a draining server takes
// over for which it is, and hands over to another one later. found is false if no server may be promoted.
//
// Load pattern: a primary fails while the servers of its service are replaced one after the other. The
// draining replica receives and acknowledges commits until it ends, and may be the only one that has them.
func Choose(replicas []ReplicaLog, keeps func(promoted ReplicaLog) bool) (best ReplicaLog, covered, found bool) {
	if best, found = MostAdvanced(replicas); !found {
		return best, false, false
	}
	if keeps(best) {
		return best, true, true
	}
	if draining, _ := mostAdvanced(replicas, false); keeps(draining) {
		return draining, true, true
	}
	return best, false, true
}

// Covers reports whether a promotion of a replica is certain to keep every acknowledged commit, given
// the logs of those that answered. total is the number of all replicas. A log counts only if the
// promoted replica has all of it: the rest would be rolled back, wherever it is.
func Covers(promoted ReplicaLog, replicas []ReplicaLog, total, syncReplicas int) bool {
	contained := 0
	for _, r := range replicas {
		if !promoted.Point.Less(r.Point) {
			contained++
		}
	}
	return CoverAllCommits(contained, total, syncReplicas)
}
