package lease

import (
	"slices"
	"time"

	"pomelofork/core/model"
)

// Answer is what an instance reported about itself when it was asked.
type Answer struct {
	// Instance and Incarnation identify the instance that answered, and which start of it.
	Instance    model.InstanceID
	Incarnation uint64
	// Epoch is the newest epoch that the instance knew.
	Epoch uint64
	// Asked is when the question was sent, by the clock of the instance that asked.
	Asked time.Time
}

// instanceState is the newest state known of one instance.
type instanceState struct {
	incarnation uint64
	epoch       uint64
	asked       time.Time
	ended       bool
}

// evidence holds the newest known state of each instance.
type evidence struct {
	known map[model.InstanceID]instanceState
}

func newEvidence() evidence { return evidence{known: map[model.InstanceID]instanceState{}} }

// add records an answer. It returns false when the answer is not newer than what is known.
// Answers may come late, twice and in any order.
func (e evidence) add(a Answer) bool {
	s, ok := e.known[a.Instance]
	if ok && (a.Incarnation < s.incarnation || a.Incarnation == s.incarnation && a.Epoch < s.epoch) {
		return false
	}
	same := ok && a.Incarnation == s.incarnation && a.Epoch == s.epoch
	if same && !a.Asked.After(s.asked) {
		return false
	}
	e.known[a.Instance] = instanceState{incarnation: a.Incarnation, epoch: a.Epoch, asked: a.Asked}
	return true
}

// markEnded records that the process of this incarnation of a member has ended for
// certain.
func (e evidence) markEnded(m Member) {
	s, ok := e.known[m.Instance]
	if ok && s.incarnation > m.Incarnation {
		return
	}
	s.incarnation = m.Incarnation
	s.ended = true
	e.known[m.Instance] = s
}

// hasEnded reports whether the process of this incarnation of a member has ended for
// certain.
func (e evidence) hasEnded(m Member) bool {
	s, ok := e.known[m.Instance]
	return ok && (s.incarnation > m.Incarnation || s.incarnation == m.Incarnation && s.ended)
}

// knows reports whether the member knows epoch or a newer one. A member whose process has
// ended counts too, since it will never again answer with an older epoch.
func (e evidence) knows(m Member, epoch uint64) bool {
	s, ok := e.known[m.Instance]
	return e.hasEnded(m) || ok && s.incarnation == m.Incarnation && s.epoch >= epoch
}

// majorityAsOf returns the latest time as of which more than half of the members knew no
// epoch newer than the given one. Self counts as asked at now.
//
// Answers with an older epoch count too. An instance that takes a right over at a newer
// epoch first waits until more than half of the same members know that epoch. At least one
// of them is also among those that answered here, and it learned the newer epoch after it
// was asked. If only answers at exactly this epoch counted, each change of the members
// would suspend every right in the fleet until the next heartbeats.
func (e evidence) majorityAsOf(members []Member, epoch uint64, self Member, now time.Time) (time.Time, bool) {
	asked := make([]time.Time, 0, len(members))
	for _, m := range members {
		if m.Is(self) {
			asked = append(asked, now)
			continue
		}
		s, ok := e.known[m.Instance]
		if ok && !s.ended && s.incarnation == m.Incarnation && s.epoch <= epoch {
			asked = append(asked, s.asked)
		}
	}
	need := majority(len(members))
	if len(asked) < need {
		return time.Time{}, false
	}
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	return asked[need-1], true
}

// majority returns the smallest integer that is more than half of n.
func majority(n int) int { return n/2 + 1 }
