package change

import "pomelofork/emul/pgsim"

// Fault is what happens to the primary.
type Fault string

// The faults.
const (
	FaultKilled  Fault = "killed"
	FaultFrozen  Fault = "frozen"
	FaultCut     Fault = "cut"
	FaultLeaving Fault = "leaving"
)

// faults are all of them.
var faults = []Fault{FaultKilled, FaultFrozen, FaultCut, FaultLeaving}

// on brings the fault about.
func (f Fault) on() pgsim.Fault {
	yes := true
	switch f {
	case FaultKilled:
		return pgsim.Fault{Killed: &yes}
	case FaultFrozen:
		return pgsim.Fault{Frozen: &yes}
	case FaultCut:
		return pgsim.Fault{Cut: &yes}
	default:
		return pgsim.Fault{Leaving: &yes}
	}
}
