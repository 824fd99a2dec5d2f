package member

import (
	"slices"
	"time"

	"pomelofork/core/lease"
	"pomelofork/core/model"
)

// Config holds the settings of a Tracker.
type Config struct {
	// Self identifies this instance and its incarnation.
	Self lease.Member
	// SuspectAfter is the time without a message after which an instance is suspected.
	SuspectAfter time.Duration
	// ProposerStep is the time between the turns of two proposers.
	ProposerStep time.Duration
	// EndedAfter is the time after which a suspected member that is missing from the
	// platform's list of instances counts as ended. It must be longer than the list lags.
	EndedAfter time.Duration
}

// Tracker records what is known of the other instances, from their messages and from the
// platform. It is not safe for concurrent use.
type Tracker struct {
	self         lease.Member
	suspectAfter time.Duration
	proposerStep time.Duration
	endedAfter   time.Duration
	absent       map[model.InstanceID]absence
	observations map[model.InstanceID]observation
	joiners      map[model.InstanceID]joiner
	// proposalSince is the time from which there has been a change to propose without
	// interruption. Zero means that there is none.
	proposalSince time.Time
	// versionCount caches the last result of countVersions until ObserveVersion records
	// another version.
	versionCount versionCount
	neighbourSet neighbourSet
}

// versionCount is a result of countVersions, with the arguments that it is for.
type versionCount struct {
	valid   bool
	epoch   uint64
	version uint64
	asOf    time.Time
	ok      bool
}

// joiner is an instance that asks to become a member.
type joiner struct {
	member     lease.Member
	receivedAt time.Time
}

// New returns a Tracker that knows no other instance.
func New(c Config) *Tracker {
	return &Tracker{
		self: c.Self, suspectAfter: c.SuspectAfter, proposerStep: c.ProposerStep, endedAfter: c.EndedAfter,
		observations: map[model.InstanceID]observation{}, joiners: map[model.InstanceID]joiner{},
	}
}

// ObserveMessage records that a message of an instance, of any kind, arrived at now.
func (t *Tracker) ObserveMessage(now time.Time, id model.InstanceID, incarnation uint64) {
	o := t.observations[id]
	if incarnation < o.incarnation || incarnation == o.incarnation && !now.After(o.receivedAt) {
		return
	}
	if incarnation > o.incarnation {
		o = observation{incarnation: incarnation}
	}
	o.receivedAt = now
	t.observations[id] = o
}

// SameVersionBits returns one bit for each member, the lowest bit of each byte first. It
// is set if the member had the given configuration version in force when it was last
// asked, and that was at most age ago.
func (t *Tracker) SameVersionBits(now time.Time, members []lease.Member, version uint64, age time.Duration) []byte {
	bits := make([]byte, (len(members)+7)/8)
	for i, m := range members {
		o, ok := t.observations[m.Instance]
		same := ok && o.incarnation == m.Incarnation && o.version == version && now.Sub(o.askedAt) <= age
		if same || m.Is(t.self) {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// ObserveVersion records the configuration version in force at an instance that was asked
// at the given time.
func (t *Tracker) ObserveVersion(id model.InstanceID, incarnation, version uint64, askedAt time.Time) {
	o := t.observations[id]
	if incarnation != o.incarnation || !askedAt.After(o.askedAt) {
		return
	}
	o.version, o.askedAt = version, askedAt
	t.versionCount.valid = false
	t.observations[id] = o
}

// StartTimeouts starts the SuspectAfter timeout of members that have sent nothing yet, so
// that the members of a record that was just learned are not suspected at once.
func (t *Tracker) StartTimeouts(now time.Time, members []lease.Member) {
	for _, m := range members {
		if o, ok := t.observations[m.Instance]; !ok || o.incarnation < m.Incarnation {
			t.observations[m.Instance] = observation{incarnation: m.Incarnation, receivedAt: now}
		}
	}
}

// IsSuspected reports whether no message of this incarnation of a member has arrived for
// SuspectAfter. This instance never suspects itself.
func (t *Tracker) IsSuspected(now time.Time, m lease.Member) bool {
	if m.Is(t.self) {
		return false
	}
	o, ok := t.observations[m.Instance]
	return !ok || o.incarnation != m.Incarnation || now.Sub(o.receivedAt) >= t.suspectAfter
}

// AddJoiner records that an instance which is not a member asks to become one. One without a
// name is ignored, because no record with it would be accepted.
func (t *Tracker) AddJoiner(now time.Time, m lease.Member) {
	if m.Instance == "" {
		return
	}
	if j, ok := t.joiners[m.Instance]; ok && j.member.Incarnation > m.Incarnation {
		return
	}
	t.joiners[m.Instance] = joiner{member: m, receivedAt: now}
}

// recentJoiners returns the instances that asked to join within SuspectAfter, sorted by
// name.
func (t *Tracker) recentJoiners(now time.Time, record lease.Record) []lease.Member {
	var found []lease.Member
	for id, j := range t.joiners {
		if now.Sub(j.receivedAt) >= t.suspectAfter || record.Has(j.member) {
			delete(t.joiners, id)
			continue
		}
		found = append(found, j.member)
	}
	slices.SortFunc(found, func(a, b lease.Member) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return found
}

// Versions returns the last known configuration version of each member that was asked for
// it.
func (t *Tracker) Versions(members []lease.Member) map[model.InstanceID]uint64 {
	versions := make(map[model.InstanceID]uint64, len(members))
	for _, m := range members {
		if o, ok := t.observations[m.Instance]; ok && o.incarnation == m.Incarnation && !o.askedAt.IsZero() {
			versions[m.Instance] = o.version
		}
	}
	return versions
}

// VersionAsOf returns the latest time as of which more than half of the members, including
// this instance, had no configuration newer than the given version in force. It returns
// false when that is not known.
func (t *Tracker) VersionAsOf(now time.Time, record lease.Record, version uint64) (time.Time, bool) {
	c := &t.versionCount
	if !c.valid || c.epoch != record.Epoch || c.version != version {
		asOf, ok := t.countVersions(now, record.Members, version)
		*c = versionCount{valid: len(record.Members) > 1, epoch: record.Epoch, version: version, asOf: asOf, ok: ok}
	}
	return c.asOf, c.ok
}

// countVersions computes the result of VersionAsOf.
func (t *Tracker) countVersions(now time.Time, members []lease.Member, version uint64) (time.Time, bool) {
	askedTimes := make([]time.Time, 0, len(members))
	for _, m := range members {
		if m.Is(t.self) {
			askedTimes = append(askedTimes, now)
			continue
		}
		o, ok := t.observations[m.Instance]
		if ok && o.incarnation == m.Incarnation && !o.askedAt.IsZero() && o.version <= version {
			askedTimes = append(askedTimes, o.askedAt)
		}
	}
	need := len(members)/2 + 1
	if len(askedTimes) < need {
		return time.Time{}, false
	}
	slices.SortFunc(askedTimes, func(a, b time.Time) int { return b.Compare(a) })
	return askedTimes[need-1], true
}
