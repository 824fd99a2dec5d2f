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
	// entryDelay is the time in which a server that was started writes its entry. A view that was
	// confirmed later than that after the server was lost and answered again shows a new start.
	entryDelay = 300 * time.Millisecond
	// maxPresumption is the time for which a server may be cold meanwhile, if the configuration doesn't
	// state for how long servers are cold after their start.
	maxPresumption = 3 * time.Second
	// presumedDivisor and strangerDivisor give the parts of the limit that the gateway and any other
	// instance may use meanwhile. An order is tried at three instances, and at one more while entries
	// differ in which ones failed.
	presumedDivisor = 2
	strangerDivisor = 6
)

// Ramp decides what a gateway may send to one server. A start is a command that is sent, or a new
// connection. It isn't safe for concurrent use.
type Ramp struct {
	claim     Claim
	coldUntil time.Time
	// returned is when the server answered again after it was lost, or zero.
	returned time.Time
	// sharedUntil is the time until which other instances may have used a part of the limit.
	sharedUntil time.Time
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

// Opened records that a connection was opened: the first one of this instance, or one after all others
// were lost. In both cases the server's process may have been started anew before its entry says so, or
// before this instance has read the entry. Any instance may use a part of the limit then, since most
// servers that were lost were only unreachable.
func (r *Ramp) Opened(now time.Time, first, lost bool) {
	if r.claim.counts() && (lost || first) {
		r.returned = now
	}
}

// Unconfirmed reports whether a confirmation of the view would show whether the server was started anew.
func (r *Ramp) Unconfirmed(now time.Time) bool {
	return r.presumed(now) && now.Sub(r.returned) >= entryDelay
}

// presumed reports whether the server may have been started anew although its entry, as far as this
// instance knows it, doesn't say so.
func (r *Ramp) presumed(now time.Time) bool {
	longest := r.claim.ColdFor
	if longest == 0 {
		longest = maxPresumption
	}
	return !r.returned.IsZero() && r.claim.Confirmed.Before(r.returned.Add(entryDelay)) && now.Before(r.returned.Add(longest))
}

// budget returns the number of starts that this instance may use in any span.
func (r *Ramp) budget(now time.Time) int {
	permitted := r.claim.permits(now)
	switch {
	case r.known(now) && !permitted:
		return 0
	case !permitted:
		return max(r.claim.Max/strangerDivisor, 1)
	case r.presumed(now):
		r.sharedUntil = now.Add(span)
		return max(r.claim.Max/presumedDivisor, 1)
	case now.Before(r.sharedUntil):
		return max(r.claim.Max/presumedDivisor, 1)
	default:
		return r.claim.Max
	}
}

// Cold reports whether a limit applies.
func (r *Ramp) Cold(now time.Time) bool {
	return r.claim.Limited && (r.known(now) || r.presumed(now))
}

// left returns how much longer the server is cold, or may be.
func (r *Ramp) left(now time.Time) time.Duration {
	if r.known(now) {
		return r.coldUntil.Sub(now)
	}
	return maxRetry
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
	return r.Permits(now, work) && r.room(now) >= r.needed(now, work, starts)
}

// needed returns the room that is needed for work with the given number of starts.
func (r *Ramp) needed(now time.Time, work Work, starts int) int {
	if work == Open {
		return starts
	}
	return max(starts, min(openRoom, r.budget(now)))
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
	return r.budget(now) - len(r.sent) - r.reserved
}

// Admit decides whether new work with the given number of starts may wait at the server, where work
// with queued starts waits already. maxWait is the time for which bound work may wait. If the work
// may not wait, Admit returns the time after which its turn is expected.
func (r *Ramp) Admit(now time.Time, work Work, queued, starts int, maxWait time.Duration) (time.Duration, bool) {
	if !r.Cold(now) || work == Open {
		return 0, true
	}
	if r.claim.Max == 0 {
		return min(r.left(now), maxRetry), work != Movable
	}
	if work == Movable {
		maxWait /= movableDivisor
	}
	if r.known(now) && !r.claim.gateway(now) {
		return elsewhereRetry, false
	}
	wait := r.wait(now, queued, r.needed(now, work, starts))
	return min(wait, r.left(now), maxRetry), wait <= maxWait
}

// wait returns the time until the needed room is there, after the queued starts.
func (r *Ramp) wait(now time.Time, queued, needed int) time.Duration {
	if settled := r.claim.settledAt(); r.known(now) && now.Before(settled) {
		return settled.Sub(now)
	}
	r.forget(now)
	// The starts that were sent leave the span one by one. A full limit of queued work takes a whole
	// span more.
	ahead, budget := queued+needed, r.budget(now)
	rounds, rest := ahead/budget, ahead%budget
	if rest == 0 {
		rounds, rest = rounds-1, budget
	}
	wait := time.Duration(rounds) * span
	if now.Before(r.fullUntil) {
		return wait + r.fullUntil.Sub(now)
	}
	if missing := rest - (budget - len(r.sent) - r.reserved); missing > 0 {
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
