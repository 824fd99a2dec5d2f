package judge

import "time"

// item names one item of one service.
type item struct {
	service, key string
}

// itemOf returns the item that an attempt reads or writes.
func itemOf(op *Op) item { return item{op.Service, op.Key} }

// level is what a read of an item must at least find. Each item has one writer,
// and that writer never has two attempts open.
type level struct {
	// version is the least number of writes, and counter the least number put there.
	version, counter int64
}

// misses reports whether a read found less than the level. A write in doubt may
// land late, on top of newer ones; it then shows an old counter with a new version.
func (l level) misses(op *Op, doubts map[item]map[int64]bool) bool {
	if op.Version < l.version {
		return true
	}
	return op.Counter < l.counter && !doubts[itemOf(op)][op.Counter]
}

// raised returns the level after one more acknowledged write.
func (l level) raised(op *Op) level {
	return level{version: l.version + 1, counter: max(l.counter, op.Counter)}
}

// doubtful returns the counters of writes whose outcome some attempt left open.
func doubtful(ops []Op) map[item]map[int64]bool {
	doubts := map[item]map[int64]bool{}
	for i := range ops {
		op := &ops[i]
		if op.Key == "" || !op.Kind.Writes() || op.Result != ResultUnknown {
			continue
		}
		if doubts[itemOf(op)] == nil {
			doubts[itemOf(op)] = map[int64]bool{}
		}
		doubts[itemOf(op)][op.Counter] = true
	}
	return doubts
}

// levelAt is the level of an item from a moment on.
type levelAt struct {
	done  time.Duration
	level level
}
