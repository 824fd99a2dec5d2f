package member

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelofork/core/lease"
	"pomelofork/core/model"
)

// RecordState is the state of the record of rights at the time when a change is
// considered.
type RecordState struct {
	// Record is the newest known record.
	Record lease.Record
	// Settled says that more than half of the members of the record, and more than half of
	// the members of the epoch before, know it.
	Settled bool
	// Ended reports whether a member's process has ended for certain.
	Ended func(lease.Member) bool
}

// Propose returns the change that this instance should try to write to the store now. It
// returns false when there is no change or it is not this instance's turn.
//
// It proposes only while more than half of the members are not suspected, so that the
// smaller part of a partitioned fleet removes nobody. The order of the members' turns
// follows from the epoch and their names. The compare-and-swap fails when another instance
// has changed the record first.
func (t *Tracker) Propose(now time.Time, s RecordState) (lease.Change, bool) {
	change := t.change(now, s)
	if change.IsEmpty() || !s.Settled || !t.seesMajority(now, s) {
		t.proposalSince = time.Time{}
		return lease.Change{}, false
	}
	if t.proposalSince.IsZero() {
		t.proposalSince = now
	}
	return change, now.Sub(t.proposalSince) >= time.Duration(t.turn(now, s))*t.proposerStep
}

// change returns the difference between the record and the members that it should have.
func (t *Tracker) change(now time.Time, s RecordState) lease.Change {
	var c lease.Change
	for _, m := range s.Record.Members {
		if !m.Is(t.self) && (s.Ended(m) || t.IsSuspected(now, m)) {
			c.Remove = append(c.Remove, m.Instance)
		}
	}
	joining := t.recentJoiners(now, s.Record)
	if !s.Record.Has(t.self) {
		joining = append(joining, t.self)
	}
	for _, m := range joining {
		if t.mayJoin(s.Record, c, m) {
			c.Remove = slices.DeleteFunc(c.Remove, func(id model.InstanceID) bool { return id == m.Instance })
			c.Put = append(c.Put, m)
		}
	}
	return c
}

// mayJoin reports whether the instance can be added: it is not a member, or the change
// removes an earlier incarnation of it.
func (t *Tracker) mayJoin(record lease.Record, c lease.Change, m lease.Member) bool {
	former, ok := record.Member(m.Instance)
	if !ok {
		return true
	}
	return former.Incarnation < m.Incarnation && slices.Contains(c.Remove, m.Instance)
}

// seesMajority reports whether more than half of the members are not suspected or have
// ended for certain.
func (t *Tracker) seesMajority(now time.Time, s RecordState) bool {
	n := 0
	for _, m := range s.Record.Members {
		if s.Ended(m) || !t.IsSuspected(now, m) {
			n++
		}
	}
	return n > len(s.Record.Members)/2
}

// turn returns how many members propose before this instance. An instance that is not a
// member comes after all members that are not suspected.
func (t *Tracker) turn(now time.Time, s RecordState) int {
	ownHash := turnHash(s.Record.Epoch, t.self.Instance)
	isMember := s.Record.Has(t.self)
	turn := 0
	for _, m := range s.Record.Members {
		if m.Is(t.self) || s.Ended(m) || t.IsSuspected(now, m) {
			continue
		}
		if !isMember || turnHash(s.Record.Epoch, m.Instance) < ownHash {
			turn++
		}
	}
	return turn
}

// turnHash returns the value by which the members of an epoch are ordered.
func turnHash(epoch uint64, id model.InstanceID) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(epoch, 10) + "\x00" + string(id))
}
