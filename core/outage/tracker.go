package outage

import (
	"maps"
	"time"

	"pomelofork/core/model"
)

const (
	// minSilent is the number of silent members from which a domain may be suspected. One or two
	// may have failed on their own at the same time.
	minSilent = 3
	// contactSpan is the time over which the members that were contacted are compared with the
	// silent ones. It spans several calls to each member that is in use.
	contactSpan = time.Second
	// examineInterval is the time between two contacts of members that are made only to find out
	// whether they answer.
	examineInterval = 200 * time.Millisecond
	// minAskInterval is the least time between two questions to the other domains about a suspected
	// one. Their instances suspect it some milliseconds sooner or later than this one.
	minAskInterval = 50 * time.Millisecond
	// askShare is the part of the age of a suspicion after which the question is repeated, so that two
	// domains that are only cut off from each other ask less and less.
	askShare = 4
)

// Change says how the belief about a domain has changed.
type Change struct {
	Domain model.Domain
	// Suspected and Lost are the new belief.
	Suspected, Lost bool
	// Silent and Contacted are the numbers of members that the belief was formed from.
	Silent, Contacted int
	// Member is the member whose answer or silence caused the change. It is the zero value if the
	// change was caused by the answer of an instance of another domain, or by the end of the last
	// member's registration.
	Member Member
	// Lasted is the time since the suspicion began.
	Lasted time.Duration
}

// Tracker keeps the evidence of one instance about the other failure domains. The instance's own
// domain is never suspected. It isn't safe for concurrent use.
type Tracker struct {
	own     model.Domain
	domains map[model.Domain]*evidence
}

// evidence is what is known of one domain.
type evidence struct {
	members map[Member]*contact
	// answeredAt is when any of the members last answered.
	answeredAt time.Time
	// suspectedAt is when the suspicion began, or zero. lost says that it was confirmed.
	suspectedAt time.Time
	lost        bool
	// askedAt is when other domains were last asked about this one.
	askedAt time.Time
	// examinedAt is when members were last contacted only to find out whether they answer.
	examinedAt time.Time
}

// New returns a tracker of an instance in the given domain.
func New(own model.Domain) *Tracker {
	return &Tracker{own, map[model.Domain]*evidence{}}
}

// Answered records that a member answered, which ends a suspicion of its domain. It returns true
// with a change of the belief.
func (t *Tracker) Answered(now time.Time, domain model.Domain, m Member) (Change, bool) {
	e := t.contact(now, domain, m)
	if e == nil {
		return Change{}, false
	}
	e.answeredAt = now
	if e.suspectedAt.IsZero() {
		return Change{}, false
	}
	lasted := now.Sub(e.suspectedAt)
	e.suspectedAt, e.lost = time.Time{}, false
	return Change{Domain: domain, Member: m, Lasted: lasted}, true
}

// Silent records that a member gave no answer when it should have. It returns true with a change
// of the belief.
func (t *Tracker) Silent(now time.Time, domain model.Domain, m Member) (Change, bool) {
	e := t.contact(now, domain, m)
	if e == nil {
		return Change{}, false
	}
	e.members[m].silentAt = now
	silent, contacted := e.count(now)
	if !e.suspectedAt.IsZero() || silent < minSilent || 2*silent < contacted {
		return Change{}, false
	}
	e.suspectedAt = now
	return Change{Domain: domain, Suspected: true, Silent: silent, Contacted: contacted, Member: m}, true
}

// Confirmed records that an instance of another domain suspects the domain by its own evidence. It
// returns true with a change of the belief. The answer doesn't count once the suspicion has ended.
func (t *Tracker) Confirmed(now time.Time, domain model.Domain) (Change, bool) {
	e, ok := t.domains[domain]
	if !ok || e.suspectedAt.IsZero() || e.lost {
		return Change{}, false
	}
	e.lost = true
	silent, contacted := e.count(now)
	return Change{Domain: domain, Suspected: true, Lost: true, Silent: silent, Contacted: contacted, Lasted: now.Sub(e.suspectedAt)}, true
}

// Suspected reports whether a domain is suspected of having failed.
func (t *Tracker) Suspected(domain model.Domain) bool {
	e, ok := t.domains[domain]
	return ok && !e.suspectedAt.IsZero()
}

// Lost reports whether an instance of another domain suspects the domain as well.
func (t *Tracker) Lost(domain model.Domain) bool {
	e, ok := t.domains[domain]
	return ok && e.lost
}

// Examine returns whether members of the domain may be contacted now, only to find out whether they
// answer, and records that they are. Without such contacts the suspicion of a domain that nobody uses
// any more would never end.
func (t *Tracker) Examine(now time.Time, domain model.Domain) bool {
	e := t.evidence(domain)
	if e == nil || now.Sub(e.examinedAt) < examineInterval {
		return false
	}
	e.examinedAt = now
	return true
}

// Ask returns whether instances of the other domains should be asked about the domain now, and records
// that they are: it is suspected and doesn't count as lost yet.
func (t *Tracker) Ask(now time.Time, domain model.Domain) bool {
	e, ok := t.domains[domain]
	if !ok || e.suspectedAt.IsZero() || e.lost || now.Sub(e.askedAt) < max(minAskInterval, now.Sub(e.suspectedAt)/askShare) {
		return false
	}
	e.askedAt = now
	return true
}

// Doubtful returns the domains that are suspected, or of which a member is silent and none has
// answered since.
func (t *Tracker) Doubtful(now time.Time) []model.Domain {
	var out []model.Domain
	for domain, e := range t.domains {
		if e.doubtful(now) {
			out = append(out, domain)
		}
	}
	return out
}

// Retain forgets the members for which exists returns false. It returns the changes of the belief about
// domains of which no member is left: nothing there is used, and those that come later are new ones.
func (t *Tracker) Retain(now time.Time, exists func(Member) bool) []Change {
	var changes []Change
	for domain, e := range t.domains {
		maps.DeleteFunc(e.members, func(m Member, _ *contact) bool { return !exists(m) })
		if len(e.members) > 0 {
			continue
		}
		delete(t.domains, domain)
		if !e.suspectedAt.IsZero() {
			changes = append(changes, Change{Domain: domain, Lasted: now.Sub(e.suspectedAt)})
		}
	}
	return changes
}

// evidence returns the evidence about a domain, or nil if it is the own or an unknown one.
func (t *Tracker) evidence(domain model.Domain) *evidence {
	if domain == "" || domain == t.own {
		return nil
	}
	e, ok := t.domains[domain]
	if !ok {
		e = &evidence{members: map[Member]*contact{}}
		t.domains[domain] = e
	}
	return e
}

// contact records a contact of a member and returns the evidence about its domain, or nil if there is
// none.
func (t *Tracker) contact(now time.Time, domain model.Domain, m Member) *evidence {
	e := t.evidence(domain)
	if e == nil {
		return nil
	}
	c, ok := e.members[m]
	if !ok {
		c = &contact{}
		e.members[m] = c
	}
	c.contactedAt = now
	return e
}

// doubtful reports whether the domain is suspected, or a member is silent and none has answered since.
func (e *evidence) doubtful(now time.Time) bool {
	silent, _ := e.count(now)
	return silent > 0 || !e.suspectedAt.IsZero()
}

// count returns the number of members that are silent, and that of those contacted in the last
// contactSpan. A silence from before the last answer of any member doesn't count.
func (e *evidence) count(now time.Time) (silent, contacted int) {
	for _, c := range e.members {
		if c.silentAt.After(e.answeredAt) {
			silent++
		}
		if now.Sub(c.contactedAt) <= contactSpan {
			contacted++
		}
	}
	return silent, contacted
}
