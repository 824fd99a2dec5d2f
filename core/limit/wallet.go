package limit

import (
	"slices"
	"time"
)

// The durations that rule a wallet.
const (
	// aheadFor is the time for which a wallet draws ahead, at the recent use.
	aheadFor = 50 * time.Millisecond
	// idleAfter is the time without a request after which grants go back.
	idleAfter = 100 * time.Millisecond
	// returnBefore is how long before its expiry a grant goes back.
	returnBefore = 250 * time.Millisecond
	// hedgeAfter is the time after which an answer that is missing no longer keeps
	// the wallet from asking the other shares.
	hedgeAfter = 20 * time.Millisecond
	// noAnswerFor is the time for which a share that gave no answer isn't asked.
	noAnswerFor = 100 * time.Millisecond
)

// WalletConfig holds the settings of a wallet.
type WalletConfig struct {
	// Rate is the account's whole rate.
	Rate Rate
	// Validity is the time for which grants are valid, from the sending of the ask.
	Validity time.Duration
}

// Wallet spends one account's tokens at one entry. It isn't safe for use by several
// goroutines at once. After each call the caller sends what Draws returns.
type Wallet struct {
	rate     Rate
	validity time.Duration
	stock    stock
	shares   [Shares]shareView
	queue    []*waiter
	use      useMeter
	lastTake time.Time
}

// NewWallet returns an empty wallet.
func NewWallet(c WalletConfig) *Wallet {
	w := &Wallet{rate: c.Rate, validity: c.Validity}
	for i := range w.shares {
		// A share that was never asked is taken to be full.
		w.shares[i].level = c.Rate.Share(i).Burst()
	}
	return w
}

// SetRate changes the account's rate.
func (w *Wallet) SetRate(rate Rate) { w.rate = rate }

// Take asks for one token for the request id. It returns false when the request has
// to wait; a later call returns its verdict.
func (w *Wallet) Take(now time.Time, id uint64) (Verdict, bool) {
	w.stock.expire(now)
	w.lastTake = now
	w.use.note(now)
	if len(w.queue) == 0 && w.stock.spend(Token) {
		return Verdict{ID: id, Granted: true}, true
	}
	next := &waiter{id: id, arrived: now}
	for i := range w.shares {
		// A mint that said it is empty has been asked already, and would give
		// the same answer now.
		next.asked[i] = now.Before(w.shares[i].putOff)
	}
	if next.askedAll() {
		return w.refuse(next, len(w.queue)), true
	}
	w.queue = append(w.queue, next)
	return Verdict{}, false
}

// Cancel forgets a waiting request.
func (w *Wallet) Cancel(id uint64) {
	w.queue = slices.DeleteFunc(w.queue, func(q *waiter) bool { return q.id == id })
}

// Answered takes a mint's answer in and returns the verdicts that follow.
func (w *Wallet) Answered(now time.Time, d Draw, a Answer) []Verdict {
	view := &w.shares[d.Share]
	view.inFlight = false
	view.level = a.Level
	view.putOff = now.Add(a.EmptyFor)
	if expires := d.Sent.Add(w.validity); a.Amount > 0 && now.Before(expires) {
		w.stock.add(&heldGrant{share: d.Share, id: a.Grant, left: a.Amount, expires: expires})
	}
	w.stock.expire(now)
	return w.serve(now, d, a.Amount < d.Ask.Need)
}

// Failed notes that a share gave no answer, and returns the verdicts that follow.
func (w *Wallet) Failed(now time.Time, d Draw) []Verdict {
	view := &w.shares[d.Share]
	view.inFlight = false
	view.level = 0
	view.putOff = now.Add(noAnswerFor)
	w.stock.expire(now)
	return w.serve(now, d, true)
}

// serve gives tokens to waiting requests in their order, and refuses those for which
// every share has been asked.
func (w *Wallet) serve(now time.Time, d Draw, short bool) []Verdict {
	var verdicts []Verdict
	for len(w.queue) > 0 && w.stock.spend(Token) {
		verdicts = append(verdicts, Verdict{ID: w.queue[0].id, Granted: true})
		w.queue = w.queue[1:]
	}
	var kept []*waiter
	for _, q := range w.queue {
		// An answer covers only requests that came before its question was sent,
		// unless it says that the mint stays empty for some time.
		if short && (!q.arrived.After(d.Sent) || now.Before(w.shares[d.Share].putOff)) {
			q.asked[d.Share] = true
		}
		if q.askedAll() {
			verdicts = append(verdicts, w.refuse(q, len(kept)))
			continue
		}
		kept = append(kept, q)
	}
	w.queue = kept
	return verdicts
}

// refuse returns the refusal of a request that has others ahead of it.
func (w *Wallet) refuse(q *waiter, ahead int) Verdict {
	missing := Micro(ahead+1)*Token - w.stock.sum()
	wait, ok := w.rate.Until(missing)
	if !ok || w.rate.burst < Token {
		return Verdict{ID: q.id}
	}
	return Verdict{ID: q.id, RetryAfter: max(wait, time.Millisecond)}
}

// Draws returns what to send now.
func (w *Wallet) Draws(now time.Time) []Draw {
	w.stock.expire(now)
	need := max(Micro(len(w.queue))*Token-w.stock.sum(), 0)
	ahead := w.ahead(now)
	if need == 0 && w.stock.sum() >= ahead/2 {
		return nil
	}
	share, ok := w.candidate(now)
	if !ok || w.stillWaiting(now, need) {
		return nil
	}
	return []Draw{w.draw(now, share, need, ahead)}
}

// draw returns the ask to one share.
func (w *Wallet) draw(now time.Time, share int, need, ahead Micro) Draw {
	w.shares[share].inFlight = true
	w.shares[share].sent = now
	return Draw{
		Share: share,
		Ask:   Ask{Need: need, Ahead: ahead, Reports: w.stock.settle(share, false)},
		Sent:  now,
	}
}

// ahead returns how much the wallet would like to have for requests to come.
func (w *Wallet) ahead(now time.Time) Micro {
	return min(Tokens(w.use.rate(now)*aheadFor.Seconds()), w.rate.burst)
}

// candidate returns the share to ask next: among those that can be asked now the one
// with the highest known level. It returns false when there is none.
func (w *Wallet) candidate(now time.Time) (int, bool) {
	best := -1
	for i := range w.shares {
		if w.shares[i].open(now) && (best < 0 || w.shares[i].level > w.shares[best].level) {
			best = i
		}
	}
	return best, best >= 0
}

// stillWaiting reports whether to wait for a missing answer before the next ask. When
// requests wait, an answer that is late is not waited for.
func (w *Wallet) stillWaiting(now time.Time, need Micro) bool {
	return slices.ContainsFunc(w.shares[:], func(v shareView) bool {
		return v.inFlight && (need == 0 || now.Sub(v.sent) < hedgeAfter)
	})
}

// Tick returns reports of what was spent, and returns grants that are idle or about to
// expire. The caller calls it every few tens of milliseconds while Busy.
func (w *Wallet) Tick(now time.Time) []Draw {
	w.stock.expire(now)
	first, ok := w.stock.firstExpiry()
	back := len(w.queue) == 0 && (now.Sub(w.lastTake) >= idleAfter || ok && first.Sub(now) < returnBefore)
	var draws []Draw
	for share := range w.shares {
		if reports := w.stock.settle(share, back); len(reports) > 0 {
			draws = append(draws, Draw{Share: share, Ask: Ask{Reports: reports}, Sent: now, Quiet: true})
		}
	}
	return append(draws, w.Draws(now)...)
}

// Busy reports whether the wallet has grants or waiting requests.
func (w *Wallet) Busy() bool { return len(w.stock.grants) > 0 || len(w.queue) > 0 }
