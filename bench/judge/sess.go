package judge

import (
	"cmp"
	"slices"
	"time"
)

// StaleReads returns the reads that missed a write which the same session had
// been acknowledged for, wherever the session was connected at either time.
func StaleReads(ops []Op) []Finding {
	var found []Finding
	doubts := doubtful(ops)
	levels := map[string]map[item]level{}
	for _, op := range sortedBy(ops, func(o *Op) time.Duration { return o.Sent }) {
		if op.Result != ResultOK || op.Key == "" {
			continue
		}
		if levels[op.Session] == nil {
			levels[op.Session] = map[item]level{}
		}
		want := levels[op.Session][itemOf(op)]
		switch {
		case op.Kind.Writes():
			levels[op.Session][itemOf(op)] = want.raised(op)
		case want.misses(op, doubts):
			found = append(found, findingf(CheckStaleReads, op.ID,
				"session %s read counter %d version %d of %s at %s after its own write %d", op.Session, op.Counter, op.Version, op.Key, op.Server, want.counter))
		}
	}
	return found
}

// sortedBy returns pointers to the operations in the order of the given time.
// Attempts of one session never overlap, so any of their times orders them.
func sortedBy(ops []Op, at func(*Op) time.Duration) []*Op {
	list := make([]*Op, len(ops))
	for i := range ops {
		list[i] = &ops[i]
	}
	slices.SortStableFunc(list, func(a, b *Op) int { return cmp.Compare(at(a), at(b)) })
	return list
}
