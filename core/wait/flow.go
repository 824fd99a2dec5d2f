package wait

import (
	"math"
	"time"

	"pomelofork/core/line"
	"pomelofork/core/model"
)

const (
	// maxFlows is the number of flows above which idle ones are forgotten.
	maxFlows = 1024
	// creditStatements is the number of statements for which an account that had nothing waiting may be
	// behind the others. Without a credit, an account that sends few statements gets each of them served
	// at the interval of its share, and those that arrive together miss their target. In a replay of 71
	// accounts at 1.6 times the slots, the mean share that small accounts got rose from 0.86 with 1 to
	// 0.99 with 8; with 16 the large ones got less than theirs.
	creditStatements = 8
)

// flowKey identifies a flow.
type flowKey struct {
	priority int
	account  model.AccountID
}

// flow is what one client account sends at one priority.
type flow struct {
	weight float64
	// tag is the start tag of the flow's next statement: the slot seconds that the flow used, divided
	// by its weight.
	tag float64
	// waiting is the number of waiting items.
	waiting int
	// onTime is the slot time of the queued items that could meet their target, over loadWindow.
	onTime line.Sum
	// ahead and others are used within one check.
	ahead, others float64
}

// cleanWeight returns the weight, or 1 if it isn't a positive number.
func cleanWeight(weight float64) float64 {
	if !(weight > 0) || math.IsInf(weight, 1) {
		return 1
	}
	return weight
}

// flows are the flows of one server, by start-time fair queueing.
type flows struct {
	byKey map[flowKey]*flow
	// virtual is, for each priority, the largest start tag of a statement that has started.
	virtual map[int]float64
}

// of returns the flow of an item, with the item's weight.
func (f *flows) of(i flowKey, weight float64) *flow {
	fl, ok := f.byKey[i]
	if !ok {
		if len(f.byKey) >= maxFlows {
			f.forgetIdle()
		}
		fl = &flow{}
		f.byKey[i] = fl
	}
	fl.weight = cleanWeight(weight)
	return fl
}

// weightOfOthers returns the weight of all other flows of the same priority, at least 1. Callers
// without an account get it together, since they are many.
func (f *flows) weightOfOthers(own flowKey) float64 {
	sum := 0.0
	for key, fl := range f.byKey {
		if key.priority == own.priority && key != own {
			sum += fl.weight
		}
	}
	return max(sum, 1)
}

// forgetIdle forgets the flows that would continue at the virtual time.
func (f *flows) forgetIdle() {
	for key, fl := range f.byKey {
		if fl.waiting == 0 && fl.tag <= f.virtual[key.priority] {
			delete(f.byKey, key)
		}
	}
}

// resumes returns the tag at which a flow without waiting items continues with an item of the given
// cost: it is no further behind the others than its credit.
func (f *flows) resumes(key flowKey, fl *flow, cost time.Duration) float64 {
	return max(fl.tag, f.virtual[key.priority]-creditStatements*cost.Seconds()/fl.weight)
}

// queued counts an item of the given cost that begins to wait.
func (f *flows) queued(key flowKey, fl *flow, cost time.Duration) {
	if fl.waiting == 0 {
		fl.tag = f.resumes(key, fl, cost)
	}
	fl.waiting++
}

// started charges a flow the expected cost of an item that starts.
func (f *flows) started(key flowKey, fl *flow, cost time.Duration) {
	f.virtual[key.priority] = max(f.virtual[key.priority], fl.tag)
	fl.tag += cost.Seconds() / fl.weight
}
