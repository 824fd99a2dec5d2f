package lease

import (
	"slices"
	"time"

	"pomelofork/core/model"
)

// Config holds the settings of a keeper.
type Config struct {
	// Self is this start of this instance.
	Self Member
	// Timing holds the durations, the same at all instances.
	Timing Timing
}

// Keeper decides for one instance which rights it may use. It isn't safe for use by
// several goroutines at once.
type Keeper struct {
	self     Member
	timing   Timing
	chain    []*link
	evidence evidence
	// storeEpoch is the epoch that the store showed to the read sent at storeAsked.
	storeEpoch uint64
	storeAsked time.Time
	// validUntil saves counting while evidence that was counted before suffices.
	validUntil time.Time
}

// New returns a keeper that knows no record.
func New(c Config) *Keeper {
	return &Keeper{self: c.Self, timing: c.Timing, evidence: newEvidence()}
}

// Record returns the newest known record, and false while there is none.
func (k *Keeper) Record() (Record, bool) {
	if l := k.last(); l != nil {
		return l.record, true
	}
	return Record{}, false
}

// Epoch returns the newest known epoch, or zero.
func (k *Keeper) Epoch() uint64 {
	if l := k.last(); l != nil {
		return l.record.Epoch
	}
	return 0
}

// Roster returns who holds which right in the newest known record.
func (k *Keeper) Roster() *Roster {
	if l := k.last(); l != nil {
		return l.roster
	}
	return NewRoster(nil)
}

// Member reports whether this start of the instance is a member.
func (k *Keeper) Member() bool {
	l := k.last()
	return l != nil && l.record.Has(k.self)
}

// Learn takes in a record from the store or a peer. It returns false for one that
// isn't newer.
func (k *Keeper) Learn(now time.Time, r Record) bool {
	last := k.last()
	if last != nil && r.Epoch <= last.record.Epoch {
		return false
	}
	next := newLink(r, now)
	k.validUntil = time.Time{}
	if last == nil || r.Epoch != last.record.Epoch+1 {
		k.chain = []*link{next}
		k.settle(now)
		return true
	}
	if last.settled.IsZero() {
		// A proposer swaps only when its own epoch is settled, so the next
		// epoch's record is proof of that.
		last.settled = now
	}
	k.chain = append(k.chain, next)
	k.trim(now)
	k.settle(now)
	return true
}

// Heard takes in an answer of an instance.
func (k *Keeper) Heard(now time.Time, a Answer) {
	if k.evidence.add(a) {
		k.settle(now)
	}
}

// Ended notes that a member's process has surely ended.
func (k *Keeper) Ended(now time.Time, m Member) {
	k.evidence.gone(m)
	k.settle(now)
}

// HasEnded reports whether a member's process has surely ended.
func (k *Keeper) HasEnded(m Member) bool { return k.evidence.ended(m) }

// StoreShowed notes that the store showed an epoch to a read sent at asked.
func (k *Keeper) StoreShowed(epoch uint64, asked time.Time) {
	if epoch > k.storeEpoch || epoch == k.storeEpoch && asked.After(k.storeAsked) {
		k.storeEpoch, k.storeAsked = epoch, asked
	}
}

// Out reports whether this instance may end: it is no member, or the only one. The last
// member stays in the record, since an empty record has no majority that could ever
// change it.
func (k *Keeper) Out() bool {
	members := k.Members()
	return !k.Member() || len(members) == 1
}

// Settled reports whether more than half of the members of the newest known epoch,
// and of the one before, know it. Only then may a proposer swap in the next one.
func (k *Keeper) Settled() bool {
	l := k.last()
	return l != nil && !l.settled.IsZero()
}

// Knowing returns how many members are known to know the newest epoch, and how many
// members there are.
func (k *Keeper) Knowing() (known, of int) {
	l := k.last()
	if l == nil {
		return 0, 0
	}
	return k.count(l.record.Members, l.record.Epoch), len(l.record.Members)
}

// settle notes the time at which the newest epoch became settled.
func (k *Keeper) settle(now time.Time) {
	l := k.last()
	if l == nil || !l.settled.IsZero() {
		return
	}
	epoch := l.record.Epoch
	if k.most(l.record.Members, epoch) && k.most(l.previous, epoch) {
		l.settled = now
	}
}

// most reports whether more than half of the members know the epoch. Nobody is
// enough when there are no members.
func (k *Keeper) most(members []Member, epoch uint64) bool {
	return len(members) == 0 || k.count(members, epoch) >= majority(len(members))
}

// count returns how many members know the epoch.
func (k *Keeper) count(members []Member, epoch uint64) int {
	n := 0
	for _, m := range members {
		if m.Is(k.self) || k.evidence.knows(m, epoch) {
			n++
		}
	}
	return n
}

// trim forgets the epochs before the newest one that is settled for so long that no
// earlier holder can act.
func (k *Keeper) trim(now time.Time) {
	for i := len(k.chain) - 1; i > 0; i-- {
		if k.chain[i].settledFor(now, k.timing.Take+k.timing.Drain) {
			k.chain = k.chain[i:]
			return
		}
	}
}

// last returns the newest link, or nil.
func (k *Keeper) last() *link {
	if len(k.chain) == 0 {
		return nil
	}
	return k.chain[len(k.chain)-1]
}

// at returns the index of an epoch in the chain, and false when it isn't there.
func (k *Keeper) at(epoch uint64) (int, bool) {
	if len(k.chain) == 0 || epoch < k.chain[0].record.Epoch {
		return 0, false
	}
	i := int(epoch - k.chain[0].record.Epoch)
	return i, i < len(k.chain)
}

// holderAt reports whether this instance is the holder of the right in a roster.
func (k *Keeper) holderAt(roster *Roster, right Right) bool {
	m, ok := roster.Holder(right)
	return ok && m.Is(k.self)
}

// Self returns this start of this instance.
func (k *Keeper) Self() Member { return k.self }

// Members returns the members of the newest known record by name.
func (k *Keeper) Members() []Member {
	if l := k.last(); l != nil {
		return l.record.Members
	}
	return nil
}

// Asked returns whom to ask for their epochs: the members and, while the newest epoch
// isn't settled, those of the one before.
func (k *Keeper) Asked() []Member {
	l := k.last()
	if l == nil {
		return nil
	}
	if !l.settled.IsZero() {
		return l.record.Members
	}
	return slices.Concat(l.record.Members, l.record.Before)
}

// Find returns the member of that name in the newest known record.
func (k *Keeper) Find(id model.InstanceID) (Member, bool) {
	if l := k.last(); l != nil {
		return l.record.Member(id)
	}
	return Member{}, false
}
