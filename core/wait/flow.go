package wait

import (
	"math"
	"time"

	"pomelofork/core/line"
	"pomelofork/core/model"
)

// maxFlows is the number of flows above which idle ones are forgotten.
const maxFlows = 1024

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

// queued counts an item that begins to wait. A flow that had none waiting continues at the
// virtual time.
func (f *flows) queued(key flowKey, fl *flow) {
	if fl.waiting == 0 {
		fl.tag = max(fl.tag, f.virtual[key.priority])
	}
	fl.waiting++
}

// started charges a flow the expected cost of an item that starts.
func (f *flows) started(key flowKey, fl *flow, cost time.Duration) {
	f.virtual[key.priority] = max(f.virtual[key.priority], fl.tag)
	fl.tag += cost.Seconds() / fl.weight
}
