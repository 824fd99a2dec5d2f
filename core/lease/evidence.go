package lease

import (
	"slices"
	"time"

	"pomelofork/core/model"
)

// Answer is what one instance said of itself when it was asked.
type Answer struct {
	// Instance and Incarnation name who answered.
	Instance    model.InstanceID
	Incarnation uint64
	// Epoch is the newest epoch it knew.
	Epoch uint64
	// Asked is when the question was sent, by the asker's clock.
	Asked time.Time
}

// knowledge is the newest that is known of one instance.
type knowledge struct {
	incarnation uint64
	epoch       uint64
	asked       time.Time
	replaced    bool
}

// evidence collects answers of instances.
type evidence struct {
	known map[model.InstanceID]knowledge
}

// newEvidence returns evidence of nothing.
func newEvidence() evidence { return evidence{known: map[model.InstanceID]knowledge{}} }

// add takes an answer in. It returns false when the answer is older than what is
// known; answers may come late, twice and in any order.
func (e evidence) add(a Answer) bool {
	k, ok := e.known[a.Instance]
	if ok && (a.Incarnation < k.incarnation || a.Incarnation == k.incarnation && a.Epoch < k.epoch) {
		return false
	}
	same := ok && a.Incarnation == k.incarnation && a.Epoch == k.epoch
	if same && !a.Asked.After(k.asked) {
		return false
	}
	e.known[a.Instance] = knowledge{incarnation: a.Incarnation, epoch: a.Epoch, asked: a.Asked}
	return true
}

// gone notes that a start of an instance has surely ended.
func (e evidence) gone(m Member) {
	k, ok := e.known[m.Instance]
	if ok && k.incarnation > m.Incarnation {
		return
	}
	k.incarnation = m.Incarnation
	k.replaced = true
	e.known[m.Instance] = k
}

// ended reports whether the member's start has surely ended.
func (e evidence) ended(m Member) bool {
	k, ok := e.known[m.Instance]
	return ok && (k.incarnation > m.Incarnation || k.incarnation == m.Incarnation && k.replaced)
}

// knows reports whether the member knows epoch or a newer one, or has ended, so that
// it will never again answer with an older one.
func (e evidence) knows(m Member, epoch uint64) bool {
	k, ok := e.known[m.Instance]
	return e.ended(m) || ok && k.incarnation == m.Incarnation && k.epoch >= epoch
}

// asOf returns the latest time as of which more than half of the members knew no epoch
// newer than this one. Self counts as asked at now.
//
// An older epoch counts too. Whoever takes a right over at a newer epoch first sees more
// than half of the same members know that epoch; one of them is among those that answered
// here, and it learned the newer epoch after it was asked. If only answers at exactly this
// epoch counted, each change of the members would stop every right of the fleet until the
// next heartbeats.
func (e evidence) asOf(members []Member, epoch uint64, self Member, now time.Time) (time.Time, bool) {
	asked := make([]time.Time, 0, len(members))
	for _, m := range members {
		if m.Is(self) {
			asked = append(asked, now)
			continue
		}
		k, ok := e.known[m.Instance]
		if ok && !k.replaced && k.incarnation == m.Incarnation && k.epoch <= epoch {
			asked = append(asked, k.asked)
		}
	}
	need := majority(len(members))
	if len(asked) < need {
		return time.Time{}, false
	}
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	return asked[need-1], true
}

// majority returns the least number that is more than half of n.
func majority(n int) int { return n/2 + 1 }
