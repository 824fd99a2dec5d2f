package rank

import (
	"cmp"
	"slices"

	"pomelofork/core/plan"
)

// slowLinkFactor is the factor by which a link may be slower than the fastest one of its failure domain
// for its instance to be a watcher.
const slowLinkFactor = 4

// Watchers returns the instances of one failure domain that watch the store for the others there, the
// preferred one first: one for each perWatcher instances, but only such as have a fast link. Links don't
// count as long as an instance doesn't state its link: it is of a build that ranks without them, and two
// instances that take each other for the watcher would follow each other.
//
// Load pattern: a configuration of several hundred kilobytes changes in a large fleet. A watcher sends it
// to all of its followers. A watcher with a link of 10 Mbit/s beside others of 200 Mbit/s takes longer for
// that than a configuration may take to be in force.
func Watchers(members []plan.Instance, perWatcher int) []plan.Instance {
	order := Order("watch", "", members)
	if len(order) == 0 {
		return nil
	}
	wanted := 1 + (len(order)-1)/perWatcher
	if !slices.ContainsFunc(order, func(i plan.Instance) bool { return i.Bandwidth == 0 }) {
		fastest := slices.MaxFunc(order, func(a, b plan.Instance) int { return cmp.Compare(a.Bandwidth, b.Bandwidth) }).Bandwidth
		order = slices.DeleteFunc(order, func(i plan.Instance) bool { return i.Bandwidth*slowLinkFactor < fastest })
	}
	return order[:min(wanted, len(order))]
}
