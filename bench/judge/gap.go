package judge

import (
	"math"
	"slices"
	"time"
)

// WriteGaps returns, for each service, the longest time in which writes were
// offered and none was acknowledged. Writes turned away by an account's rate
// don't count as offered.
func WriteGaps(ops []Op, end time.Duration) map[string]time.Duration {
	offered := map[string][]*Op{}
	for _, op := range sortedBy(ops, func(o *Op) time.Duration { return o.Done }) {
		if op.Kind.Writes() && !op.RefusedByRate() {
			offered[op.Service] = append(offered[op.Service], op)
		}
	}
	gaps := make(map[string]time.Duration, len(offered))
	for service, list := range offered {
		gaps[service] = worstGap(list, end)
	}
	return gaps
}

// worstGap goes back from the end over the writes in the order of their ends.
func worstGap(list []*Op, end time.Duration) time.Duration {
	worst := time.Duration(0)
	nextAck, waitingSince := end, time.Duration(math.MaxInt64)
	for _, op := range slices.Backward(list) {
		if op.Result == ResultOK {
			worst = max(worst, nextAck-max(op.Done, waitingSince))
			nextAck = op.Done
		}
		waitingSince = min(waitingSince, op.Intended)
	}
	return max(worst, nextAck-waitingSince)
}
