// Package level says what instances of different builds may rely on in each other. A fleet that is being
// upgraded, or returned to an older build, consists of both for minutes.
package level

import (
	"cmp"
	"slices"

	"pomelofork/core/model"
	"pomelofork/core/plan"
)

// The levels. An instance registers with the highest one that its build knows. A behaviour that is safe or
// useful only if other instances take part gets a level of its own, and takes effect where Of returns that
// level or a higher one.
const (
	// Unstated is the level of builds that register none.
	Unstated = 0
	// Stated is the level of builds that register their level and speak the tagged form of messages.
	Stated = 1
	// Copies is the level of builds whose monitors record the servers that may hold acknowledged commits.
	Copies = 2
	// Names is the level of builds whose gateways number prepared statements at servers, so that a shape may
	// have blanks. Gateways below it name them by their shapes.
	Names = 3

	// Newest is the level of this build.
	Newest = Names
)

// Of returns the level of a fleet: the lowest of all registered instances, and those that register it if
// that is below Newest, in the order of their IDs. A fleet without instances has the level Unstated.
func Of(instances map[model.InstanceID]plan.Instance) (fleet int, behind []model.InstanceID) {
	if len(instances) == 0 {
		return Unstated, nil
	}
	fleet = Newest
	for _, inst := range instances {
		fleet = min(fleet, inst.Level)
	}
	for id, inst := range instances {
		if inst.Level == fleet && fleet < Newest {
			behind = append(behind, id)
		}
	}
	slices.SortFunc(behind, cmp.Compare[model.InstanceID])
	return fleet, behind
}
