package limit

import (
	"slices"
	"time"
)

// outstandingGrant is a grant that may still be spent.
type outstandingGrant struct {
	seq     uint64
	amount  MicroTokens
	spent   MicroTokens
	expires time.Time
}

// remaining returns the amount of the grant that may still be spent.
func (g *outstandingGrant) remaining() MicroTokens { return g.amount - g.spent }

// outstandingGrants are the grants of an issuer that may still be spent. The queue holds
// them in the order in which they expire, and may hold removed ones too.
type outstandingGrants struct {
	queue []*outstandingGrant
	bySeq map[uint64]*outstandingGrant
	// total is the sum of what remains of the grants in bySeq.
	total MicroTokens
	// inherited is the amount that former holders had granted. All of it counts as
	// outstanding until inheritedUntil.
	inherited      MicroTokens
	inheritedUntil time.Time
}

// newOutstandingGrants returns an empty set of grants.
func newOutstandingGrants() outstandingGrants {
	return outstandingGrants{bySeq: map[uint64]*outstandingGrant{}}
}

// sum returns the amount that may still be spent of all grants, inherited ones included.
func (o *outstandingGrants) sum() MicroTokens { return o.total + o.inherited }

// add records a new grant.
func (o *outstandingGrants) add(seq uint64, amount MicroTokens, expires time.Time) {
	g := &outstandingGrant{seq: seq, amount: amount, expires: expires}
	i := len(o.queue)
	for i > 0 && o.queue[i-1].expires.After(expires) {
		i--
	}
	o.queue = slices.Insert(o.queue, i, g)
	o.bySeq[seq] = g
	o.total += amount
}

// inherit records an amount granted by a former holder.
func (o *outstandingGrants) inherit(amount MicroTokens, until time.Time) {
	o.inherited += amount
	o.inheritedUntil = until
}

// applyReport applies a report and returns the amount that goes back to the bucket. Reports
// may arrive late, repeatedly and in any order: the amount spent only grows, and reports on
// grants that are done, expired or another issuer's are ignored.
func (o *outstandingGrants) applyReport(r Report, issuer uint64) MicroTokens {
	g, ok := o.bySeq[r.Grant.Seq]
	if !ok || r.Grant.Mint != issuer {
		return 0
	}
	if spent := min(r.Spent, g.amount); spent > g.spent {
		o.total -= spent - g.spent
		g.spent = spent
	}
	if !r.Done {
		return 0
	}
	returned := g.remaining()
	o.remove(g)
	return returned
}

// nextExpiry returns the time at which the next grant with a remainder expires. It returns
// false if there is none.
func (o *outstandingGrants) nextExpiry() (time.Time, bool) {
	next, ok := o.inheritedUntil, o.inherited > 0
	for len(o.queue) > 0 && o.queue[0].remaining() == 0 {
		o.remove(o.queue[0])
		o.queue = o.queue[1:]
	}
	if len(o.queue) > 0 && (!ok || o.queue[0].expires.Before(next)) {
		next, ok = o.queue[0].expires, true
	}
	return next, ok
}

// expire removes the grants that no token cache can spend any more. What remained of them
// counts as spent.
func (o *outstandingGrants) expire(at time.Time) {
	for len(o.queue) > 0 && !at.Before(o.queue[0].expires) {
		o.remove(o.queue[0])
		o.queue = o.queue[1:]
	}
	if !at.Before(o.inheritedUntil) {
		o.inherited = 0
	}
}

// remove removes one grant from bySeq and the total. It stays in the queue, as one with
// nothing remaining, until it is the first.
func (o *outstandingGrants) remove(g *outstandingGrant) {
	if _, ok := o.bySeq[g.seq]; !ok {
		return
	}
	delete(o.bySeq, g.seq)
	o.total -= g.remaining()
	g.spent = g.amount
}
