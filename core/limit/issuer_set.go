package limit

import (
	"time"

	"pomelofork/core/assert"
	"pomelofork/core/lease"
)

// IssuerSetConfig holds the settings and dependencies of an issuer set.
type IssuerSetConfig struct {
	// Leases decides which rights this instance may use.
	Leases *lease.Manager
	// Rate returns the whole rate of an account, or the zero rate for an unknown one.
	Rate func(account string) Rate
	// NewIssuerID returns a number that is unique among all issuers of the fleet.
	NewIssuerID func() uint64
	// Timing holds the durations of rights.
	Timing lease.Timing
	// Check records violated invariants. Nil checks nothing.
	Check *assert.Checker
}

// IssuerSet holds the issuers of one instance, and hands over or acquires them when their
// rights move. It isn't safe for concurrent use.
type IssuerSet struct {
	leases      *lease.Manager
	rate        func(account string) Rate
	newIssuerID func() uint64
	timing      lease.Timing
	check       *assert.Checker
	issuers     map[lease.Right]*Issuer
	departed    map[lease.Right]*departure
}

// departure is a right that moved to another instance, which has yet to acquire it.
type departure struct {
	// issuer is the right's issuer, if there was one.
	issuer *Issuer
	epoch  uint64
	at     time.Time
	// released is true once handover was returned to the new holder.
	released bool
	handover Handover
}

// NewIssuerSet returns an empty issuer set.
func NewIssuerSet(c IssuerSetConfig) *IssuerSet {
	return &IssuerSet{
		leases: c.Leases, rate: c.Rate, newIssuerID: c.NewIssuerID, timing: c.Timing, check: c.Check,
		issuers: map[lease.Right]*Issuer{}, departed: map[lease.Right]*departure{},
	}
}

// Draw grants tokens of a share. It returns false if this instance may not issue them now.
// The caller checks Holds of Leases again before it sends the response, because the process
// may have been paused in between. A grant that is not sent is lost, which does no harm.
func (s *IssuerSet) Draw(now time.Time, right lease.Right, request DrawRequest) (DrawResponse, bool) {
	if !s.leases.Holds(now, right) {
		return DrawResponse{}, false
	}
	return s.issuer(now, right).Draw(now, request), true
}

// issuer returns the issuer of a share that this instance owns. It creates one if needed.
func (s *IssuerSet) issuer(now time.Time, right lease.Right) *Issuer {
	share := s.rate(right.Name).Share(right.Part)
	if i, ok := s.issuers[right]; ok {
		i.SetShare(now, share)
		return i
	}
	since, ok := s.leases.OwnedSince(now, right)
	if !ok {
		since = now
	}
	s.issuers[right] = s.newIssuer(now, right, since)
	return s.issuers[right]
}

// newIssuer returns an issuer whose bucket was empty at since.
func (s *IssuerSet) newIssuer(now time.Time, right lease.Right, since time.Time) *Issuer {
	return NewIssuer(now, IssuerConfig{
		ID: s.newIssuerID(), Part: right.Part, Share: s.rate(right.Name).Share(right.Part), Since: since, Validity: s.timing.GrantValidity, Check: s.check,
	})
}

// RecordChanged updates the set after Leases has applied a newer record of the rights. Rights
// that moved to another instance are kept for it to acquire; withoutIssuer lists the rights
// that have no issuer. If the record's epoch is not consecutive to the one known before,
// another instance may have held a right in between, so all issuers are discarded.
func (s *IssuerSet) RecordChanged(now time.Time, consecutive bool, withoutIssuer []lease.Right) {
	if !consecutive {
		clear(s.issuers)
		clear(s.departed)
		return
	}
	for right, issuer := range s.issuers {
		if _, owned := s.leases.OwnedSince(now, right); owned {
			continue
		}
		delete(s.issuers, right)
		if s.leases.Reassigned(right) {
			s.depart(now, right, issuer)
		}
	}
	for _, right := range withoutIssuer {
		if s.leases.Reassigned(right) {
			s.depart(now, right, nil)
		}
	}
}

// depart records that a right moved away at the newest epoch.
func (s *IssuerSet) depart(now time.Time, right lease.Right, issuer *Issuer) {
	s.departed[right] = &departure{issuer: issuer, epoch: s.leases.Epoch(), at: now}
}

// Release hands over a right that moved away at an epoch. It returns false while that isn't
// possible yet. Repeated calls of the new holder return the same handover. The caller makes
// sure that no other work is in progress under the right.
func (s *IssuerSet) Release(now time.Time, right lease.Right, epoch uint64) (Handover, bool) {
	if !s.leases.Released(now, right, epoch) {
		return Handover{}, false
	}
	if right.Kind != lease.KindAccount {
		return Handover{}, true
	}
	d := s.departed[right]
	if d == nil || d.epoch != epoch {
		// This instance issued nothing under the right, so the bucket has filled since
		// this instance acquired the right.
		since, _ := s.leases.OwnedSinceAt(now, right, epoch-1)
		d = &departure{issuer: s.newIssuer(now, right, since), epoch: epoch, at: now}
		s.departed[right] = d
	}
	if !d.released {
		d.released, d.handover = true, d.issuer.Release(now)
	}
	return d.handover, true
}

// Acquire takes over a right that moved to this instance at an epoch, with the handover of
// its former holder. It returns false if that changes nothing, as for a repeated response.
func (s *IssuerSet) Acquire(now time.Time, right lease.Right, epoch uint64, handover Handover) bool {
	if !s.leases.ConfirmHandover(now, right, epoch) {
		return false
	}
	var issuer *Issuer
	if right.Kind == lease.KindAccount {
		issuer = s.newIssuer(now, right, now)
		issuer.Resume(now, handover)
	}
	switch {
	case !s.leases.Assigned(right):
		// The right has already moved on to another instance.
		if left, ok := s.leases.ReassignedAt(right, epoch); ok {
			s.departed[right] = &departure{issuer: issuer, epoch: left, at: now}
		}
	case issuer != nil:
		s.issuers[right] = issuer
	}
	return true
}

// PendingHandovers returns the rights that moved away and wait for their new holders. It
// drops those that have no holder or came back to this instance, and those whose new holder
// must have started without a handover by now.
func (s *IssuerSet) PendingHandovers(now time.Time) []lease.Right {
	var rights []lease.Right
	for right, d := range s.departed {
		_, held := s.leases.Assignment().Holder(right)
		if !held || s.leases.Assigned(right) || now.Sub(d.at) > 2*(s.timing.TakeoverWait+s.timing.DrainTimeout) {
			delete(s.departed, right)
			continue
		}
		rights = append(rights, right)
	}
	return rights
}

// HandoverDone records that the new holder has acquired a right.
func (s *IssuerSet) HandoverDone(right lease.Right) { delete(s.departed, right) }

// Len returns the number of issuers.
func (s *IssuerSet) Len() int { return len(s.issuers) }
