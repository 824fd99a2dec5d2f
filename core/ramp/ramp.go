package ramp

import (
	"math"
	"slices"
	"time"
)

// Work says how a statement depends on its server.
type Work uint8

// The kinds of work.
const (
	// Movable work may run at another server of the service.
	Movable Work = iota
	// Bound work may run only at this server.
	Bound
	// Open work continues a transaction that is open at this server.
	Open
)

const (
	// openRoom is the room that new work leaves to open transactions, and by which work that needs
	// several starts isn't overtaken forever by work that needs one. It is the number of starts of a
	// read that has to prove the primary: BEGIN, the statement and ROLLBACK.
	openRoom = 3
	// movableDivisor is the divisor of the time that bound work may wait which gives the same for
	// movable work. A caller whose read may run elsewhere is served sooner there.
	movableDivisor = 4
	// unlimited is the number of starts where there is no limit.
	unlimited = math.MaxInt32
	// maxRetry is the longest time after which a caller is told to return.
	maxRetry = 2 * time.Second
	// presumption is the time for which a server counts as cold after it was lost and answers again:
	// the time in which its entry shows whether it was started anew.
	presumption = time.Second
)

// Ramp decides what a gateway may send to one server. A start is a command that is sent, or a new
// connection. It isn't safe for concurrent use.
type Ramp struct {
	claim     Claim
	coldUntil time.Time
	// presumedUntil is the time until which the server may be cold, because it was lost.
	presumedUntil time.Time
	// sent are the times of the starts of the last span, earliest first, or the last of them up to
	// twice the limit. That is enough when the limit changes with the server's role.
	sent []time.Time
	// reserved are the starts that will be sent later, and count until then.
	reserved int
	// fullUntil is the time until which the limit counts as used up.
	fullUntil time.Time
}

// New returns a ramp that assumes that the limit was used up until the given time, or zero for a
// gateway that has sent nothing yet.
func New(usedUntil time.Time, claim Claim, coldUntil time.Time) *Ramp {
	r := &Ramp{claim: claim, coldUntil: coldUntil}
	if !usedUntil.IsZero() {
		r.fullUntil = usedUntil.Add(span)
	}
	return r
}

// Update sets this instance's claim, and the time until which the server is cold. If there was no
// limit before, it isn't known what was sent.
func (r *Ramp) Update(now time.Time, claim Claim, coldUntil time.Time) {
	if claim.counts() && !r.claim.counts() {
		r.fullUntil = now.Add(span)
	}
	r.claim, r.coldUntil = claim, coldUntil
}

// Returned records that the server answers again after all connections to it were lost. Its process
// may have been started anew. As long as that isn't known, the limit applies, but any instance may use
// it: most servers that were lost were only unreachable.
func (r *Ramp) Returned(now time.Time) {
	if r.claim.counts() {
		r.presumedUntil = now.Add(presumption)
	}
}

// Cold reports whether a limit applies.
func (r *Ramp) Cold(now time.Time) bool { return r.claim.Limited && now.Before(r.end()) }

// end returns the time until which the server is cold or may be.
func (r *Ramp) end() time.Time {
	if r.coldUntil.Before(r.presumedUntil) {
		return r.presumedUntil
	}
	return r.coldUntil
}

// Permits reports whether this instance may send work of the kind to the server at all.
func (r *Ramp) Permits(now time.Time, work Work) bool {
	if !r.Cold(now) {
		return true
	}
	if r.claim.Max == 0 {
		return work != Movable
	}
	return !r.known(now) || r.claim.permits(now)
}

// known reports whether the server is cold by its entry, and not only presumed to be.
func (r *Ramp) known(now time.Time) bool { return now.Before(r.coldUntil) }

// Allows reports whether work with the given number of starts may be sent now.
func (r *Ramp) Allows(now time.Time, work Work, starts int) bool {
	return r.Permits(now, work) && r.room(now) >= r.needed(work, starts)
}

// needed returns the room that is needed for work with the given number of starts.
func (r *Ramp) needed(work Work, starts int) int {
	if work == Open {
		return starts
	}
	return max(starts, min(openRoom, r.claim.Max))
}

// room returns the number of starts that are allowed now.
func (r *Ramp) room(now time.Time) int {
	if !r.Cold(now) || r.claim.Max == 0 {
		return unlimited
	}
	if now.Before(r.fullUntil) {
		return 0
	}
	r.forget(now)
	return r.claim.Max - len(r.sent) - r.reserved
}

// Admit decides whether new work with the given number of starts may wait at the server, where work
// with queued starts waits already. patience is the time for which bound work may wait. If the work
// may not wait, Admit returns the time after which its turn is expected.
func (r *Ramp) Admit(now time.Time, work Work, queued, starts int, patience time.Duration) (time.Duration, bool) {
	if !r.Cold(now) || work == Open {
		return 0, true
	}
	if r.claim.Max == 0 {
		return min(r.end().Sub(now), maxRetry), work != Movable
	}
	if work == Movable {
		patience /= movableDivisor
	}
	if r.known(now) && !r.claim.gateway(now) {
		return elsewhereRetry, false
	}
	wait := r.wait(now, queued, r.needed(work, starts))
	return min(wait, r.end().Sub(now), maxRetry), wait <= patience
}

// wait returns the time until the needed room is there, after the queued starts.
func (r *Ramp) wait(now time.Time, queued, needed int) time.Duration {
	if settled := r.claim.settledAt(); r.known(now) && now.Before(settled) {
		return settled.Sub(now)
	}
	r.forget(now)
	// The starts that were sent leave the span one by one. A full limit of queued work takes a whole
	// span more.
	ahead := queued + needed
	rounds, rest := ahead/r.claim.Max, ahead%r.claim.Max
	if rest == 0 {
		rounds, rest = rounds-1, r.claim.Max
	}
	wait := time.Duration(rounds) * span
	if now.Before(r.fullUntil) {
		return wait + r.fullUntil.Sub(now)
	}
	if missing := rest - (r.claim.Max - len(r.sent) - r.reserved); missing > 0 {
		// Reserved starts are sent soon, and leave the span after those that were sent.
		if missing > len(r.sent) {
			return wait + span
		}
		wait += r.sent[missing-1].Add(span).Sub(now)
	}
	return wait
}

// Reserve counts starts that will be sent later. Send or Release has to be called for them.
func (r *Ramp) Reserve(starts int) { r.reserved += starts }

// Release gives back reserved starts that were not sent.
func (r *Ramp) Release(starts int) { r.reserved -= starts }

// Send counts starts that are sent now, whether the server is cold or not: it may be known only later
// that it was.
func (r *Ramp) Send(now time.Time, starts int) {
	if !r.claim.counts() {
		return
	}
	r.forget(now)
	for range starts {
		r.sent = append(r.sent, now)
	}
	if surplus := len(r.sent) - 2*r.claim.Max; surplus > 0 {
		r.sent = slices.Delete(r.sent, 0, surplus)
	}
}

// forget drops the starts that are older than the span.
func (r *Ramp) forget(now time.Time) {
	expired := 0
	for expired < len(r.sent) && now.Sub(r.sent[expired]) >= span {
		expired++
	}
	r.sent = slices.Delete(r.sent, 0, expired)
}
