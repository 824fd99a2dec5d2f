package promo

import (
	"pomelofork/core/model"
	"pomelofork/core/plan"
)

// onlyEvacuated reports whether the failure domains of all servers but the primary are evacuated, and
// there is at least one such server. No other server is promoted then: its work would be refused in any
// case, and the primary may return with commits that the others lack.
func onlyEvacuated(servers []plan.Server, primary model.ServerID) bool {
	evacuated := false
	for _, s := range servers {
		if s.ID == primary {
			continue
		}
		if !s.Evacuated() {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// SplitFormer returns the replicas without the former primary, and the end of its log, which is the
// zero point if it isn't among them.
func SplitFormer(replicas []ReplicaLog, former model.ServerID) ([]ReplicaLog, model.Point) {
	var others []ReplicaLog
	var end model.Point
	for _, r := range replicas {
		if r.Server.ID == former {
			end = r.Point
		} else {
			others = append(others, r)
		}
	}
	return others, end
}
