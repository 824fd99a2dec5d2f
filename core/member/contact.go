package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelofork/core/lease"
)

// Limits on how many members an instance asks.
const (
	// FullMeshLimit is the number of members up to which every instance asks every other.
	FullMeshLimit = 32
	// neighbourCount is the number of members that an instance of a larger fleet asks.
	neighbourCount = 16
	// fanOut is the number of neighbours that are asked at each heartbeat.
	fanOut = 3
)

// HeartbeatTargets returns the members to ask at this heartbeat. Up to FullMeshLimit
// members, it returns all of them. In a larger fleet it returns a few of this instance's
// neighbours in turn; their digests tell what they know about the others.
func (t *Tracker) HeartbeatTargets(now time.Time, epoch uint64, members []lease.Member) []lease.Member {
	if len(members) <= FullMeshLimit {
		return members
	}
	if t.neighbourSet.epoch != epoch || now.Sub(t.neighbourSet.chosen) >= t.suspectAfter {
		t.neighbourSet = neighbourSet{epoch: epoch, chosen: now, next: t.neighbourSet.next, members: t.chooseNeighbours(now, members)}
	}
	var asked []lease.Member
	for range min(fanOut, len(t.neighbourSet.members)) {
		asked = append(asked, t.neighbourSet.members[t.neighbourSet.next%len(t.neighbourSet.members)])
		t.neighbourSet.next++
	}
	return asked
}

// neighbourSet is the members that an instance of a large fleet asks.
type neighbourSet struct {
	epoch   uint64
	chosen  time.Time
	members []lease.Member
	next    int
}

// chooseNeighbours returns the members that this instance asks. They are chosen by
// rendezvous hashing, so that they stay the same when other members come and go. Each
// instance has different neighbours, so that information reaches the whole fleet in few
// steps.
func (t *Tracker) chooseNeighbours(now time.Time, members []lease.Member) []lease.Member {
	type ranked struct {
		hash   uint64
		member lease.Member
	}
	all := make([]ranked, 0, len(members))
	for _, m := range members {
		if !m.Is(t.self) && !t.IsSuspected(now, m) {
			key := string(t.self.Instance) + "\x00" + string(m.Instance)
			all = append(all, ranked{hash: xxhash.Sum64String(key), member: m})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.hash != b.hash {
			if a.hash < b.hash {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.member.Instance), string(b.member.Instance))
	})
	chosen := make([]lease.Member, 0, neighbourCount)
	for _, one := range all[:min(neighbourCount, len(all))] {
		chosen = append(chosen, one.member)
	}
	return chosen
}
