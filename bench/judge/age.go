package judge

import (
	"sort"
	"time"
)

// TooOldReads returns the reads that missed a write of any session which was
// acknowledged longer before the read than the route's age. A route that accepts
// no age must see everything acknowledged before the read was sent.
func TooOldReads(ops []Op) []Finding {
	acks := acknowledged(ops)
	doubts := doubtful(ops)
	var found []Finding
	for i := range ops {
		op := &ops[i]
		if op.Kind.Writes() || op.Result != ResultOK || op.Key == "" {
			continue
		}
		want := levelBefore(acks[itemOf(op)], op.Sent-op.MaxAge)
		if want.misses(op, doubts) {
			found = append(found, findingf(CheckTooOldReads, op.ID,
				"read of %s on route %s found counter %d version %d at %s; %s allows no less than %d", op.Key, op.Route, op.Counter, op.Version, op.Server, op.MaxAge, want.counter))
		}
	}
	return found
}

// acknowledged returns the levels of each item over time.
func acknowledged(ops []Op) map[item][]levelAt {
	acks := map[item][]levelAt{}
	for _, op := range sortedBy(ops, func(o *Op) time.Duration { return o.Done }) {
		if !op.Kind.Writes() || op.Result != ResultOK || op.Key == "" {
			continue
		}
		list := acks[itemOf(op)]
		last := level{}
		if n := len(list); n > 0 {
			last = list[n-1].level
		}
		acks[itemOf(op)] = append(list, levelAt{op.Done, last.raised(op)})
	}
	return acks
}

// levelBefore returns the level that was acknowledged before the moment.
func levelBefore(list []levelAt, moment time.Duration) level {
	i := sort.Search(len(list), func(i int) bool { return list[i].done >= moment })
	if i == 0 {
		return level{}
	}
	return list[i-1].level
}
