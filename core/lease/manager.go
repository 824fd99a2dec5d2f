package lease

import (
	"slices"
	"time"

	"pomelofork/core/model"
)

// Config holds the settings of a Manager.
type Config struct {
	// Self identifies this instance and its incarnation.
	Self Member
	// Timing holds the durations. They must be the same at all instances.
	Timing Timing
}

// Manager decides which rights one instance may use. It is not safe for concurrent use.
type Manager struct {
	self     Member
	timing   Timing
	epochs   []*epochState
	evidence evidence
	// storeEpoch is the epoch in the answer to the read of the store that was sent at
	// storeAsked.
	storeEpoch uint64
	storeAsked time.Time
	// validUntil is the end of the authority that was computed last. Until then the
	// evidence is not counted again.
	validUntil time.Time
}

// New returns a Manager that knows no record yet.
func New(c Config) *Manager {
	return &Manager{self: c.Self, timing: c.Timing, evidence: newEvidence()}
}

// Record returns the newest known record. It returns false while none is known.
func (mgr *Manager) Record() (Record, bool) {
	if e := mgr.newest(); e != nil {
		return e.record, true
	}
	return Record{}, false
}

// Epoch returns the newest known epoch, or zero while none is known.
func (mgr *Manager) Epoch() uint64 {
	if e := mgr.newest(); e != nil {
		return e.record.Epoch
	}
	return 0
}

// Assignment returns which member holds which right in the newest known record. It has no
// holders while no record is known.
func (mgr *Manager) Assignment() *Assignment {
	if e := mgr.newest(); e != nil {
		return e.assignment
	}
	return NewAssignment(nil)
}

// IsMember reports whether this incarnation of the instance is in the newest known record.
func (mgr *Manager) IsMember() bool {
	e := mgr.newest()
	return e != nil && e.record.Has(mgr.self)
}

// AddRecord records what the store or a peer sent. It returns false for a record that is
// not newer than the newest known one.
func (mgr *Manager) AddRecord(now time.Time, r Record) bool {
	newest := mgr.newest()
	if newest != nil && r.Epoch <= newest.record.Epoch {
		return false
	}
	next := newEpochState(r, now)
	mgr.validUntil = time.Time{}
	if newest == nil || r.Epoch != newest.record.Epoch+1 {
		mgr.epochs = []*epochState{next}
		mgr.updateSettled(now)
		return true
	}
	if newest.settledAt.IsZero() {
		// A proposer writes the next record only when its own epoch is settled, so the
		// next record proves that this epoch is.
		newest.settledAt = now
	}
	mgr.epochs = append(mgr.epochs, next)
	mgr.dropOldEpochs(now)
	mgr.updateSettled(now)
	return true
}

// AddAnswer records an answer of an instance.
func (mgr *Manager) AddAnswer(now time.Time, a Answer) {
	if mgr.evidence.add(a) {
		mgr.updateSettled(now)
	}
}

// MarkEnded records that the process of a member has ended for certain.
func (mgr *Manager) MarkEnded(now time.Time, m Member) {
	mgr.evidence.markEnded(m)
	mgr.updateSettled(now)
}

// HasEnded reports whether the process of a member has ended for certain.
func (mgr *Manager) HasEnded(m Member) bool { return mgr.evidence.hasEnded(m) }

// AddStoreEpoch records the epoch that the store returned to a read that was sent at
// asked.
func (mgr *Manager) AddStoreEpoch(epoch uint64, asked time.Time) {
	if epoch > mgr.storeEpoch || epoch == mgr.storeEpoch && asked.After(mgr.storeAsked) {
		mgr.storeEpoch, mgr.storeAsked = epoch, asked
	}
}

// MayStop reports whether this instance may stop: it is not a member, or it is the only
// one. The last member stays in the record, since an empty record has no majority that
// could ever change it.
func (mgr *Manager) MayStop() bool {
	members := mgr.Members()
	return !mgr.IsMember() || len(members) == 1
}

// Settled reports whether the newest known epoch is settled: more than half of its
// members, and more than half of the members of the epoch before, know it. Only then may a
// proposer write the record of the next epoch.
func (mgr *Manager) Settled() bool {
	e := mgr.newest()
	return e != nil && !e.settledAt.IsZero()
}

// CountConfirmed returns how many members are known to know the newest epoch, and how many
// members there are.
func (mgr *Manager) CountConfirmed() (known, of int) {
	e := mgr.newest()
	if e == nil {
		return 0, 0
	}
	return mgr.countKnowing(e.record.Members, e.record.Epoch), len(e.record.Members)
}

// updateSettled records now as the time at which the newest epoch became settled, if it
// has just become so.
func (mgr *Manager) updateSettled(now time.Time) {
	e := mgr.newest()
	if e == nil || !e.settledAt.IsZero() {
		return
	}
	epoch := e.record.Epoch
	if mgr.majorityKnows(e.record.Members, epoch) && mgr.majorityKnows(e.previousMembers, epoch) {
		e.settledAt = now
	}
}

// majorityKnows reports whether more than half of the members know the epoch. It is true
// for an empty list, such as the members before the first epoch.
func (mgr *Manager) majorityKnows(members []Member, epoch uint64) bool {
	return len(members) == 0 || mgr.countKnowing(members, epoch) >= majority(len(members))
}

// countKnowing returns how many of the members know the epoch.
func (mgr *Manager) countKnowing(members []Member, epoch uint64) int {
	n := 0
	for _, m := range members {
		if m.Is(mgr.self) || mgr.evidence.knows(m, epoch) {
			n++
		}
	}
	return n
}

// dropOldEpochs drops the epochs before the newest one that has been settled for so long
// that no holder of an earlier epoch can still act.
func (mgr *Manager) dropOldEpochs(now time.Time) {
	for i := len(mgr.epochs) - 1; i > 0; i-- {
		if mgr.epochs[i].settledFor(now, mgr.timing.TakeoverWait+mgr.timing.DrainTimeout) {
			mgr.epochs = mgr.epochs[i:]
			return
		}
	}
}

// newest returns the newest known epoch, or nil while none is known.
func (mgr *Manager) newest() *epochState {
	if len(mgr.epochs) == 0 {
		return nil
	}
	return mgr.epochs[len(mgr.epochs)-1]
}

// index returns the index of an epoch in epochs. It returns false when the epoch is not
// there.
func (mgr *Manager) index(epoch uint64) (int, bool) {
	if len(mgr.epochs) == 0 || epoch < mgr.epochs[0].record.Epoch {
		return 0, false
	}
	i := int(epoch - mgr.epochs[0].record.Epoch)
	return i, i < len(mgr.epochs)
}

// holdsIn reports whether an assignment gives the right to this instance.
func (mgr *Manager) holdsIn(assignment *Assignment, right Right) bool {
	m, ok := assignment.Holder(right)
	return ok && m.Is(mgr.self)
}

// Self returns the identity and the incarnation of this instance.
func (mgr *Manager) Self() Member { return mgr.self }

// Members returns the members in the newest known record, sorted by name.
func (mgr *Manager) Members() []Member {
	if e := mgr.newest(); e != nil {
		return e.record.Members
	}
	return nil
}

// MembersToAsk returns the members whose epochs are needed: those of the newest epoch and,
// while it is not settled, also those of the epoch before that are no longer members in
// the same form.
func (mgr *Manager) MembersToAsk() []Member {
	e := mgr.newest()
	if e == nil {
		return nil
	}
	if !e.settledAt.IsZero() {
		return e.record.Members
	}
	return slices.Concat(e.record.Members, e.record.Before)
}

// FindMember returns the member with this name in the newest known record.
func (mgr *Manager) FindMember(id model.InstanceID) (Member, bool) {
	if e := mgr.newest(); e != nil {
		return e.record.Member(id)
	}
	return Member{}, false
}
