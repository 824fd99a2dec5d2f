package fair

import (
	"time"

	"pomelofork/core/model"
)

// RoundRobin is a deficit round robin over client accounts. The cost of an item is known
// only after it ran. So an account may overdraw its credit by its running items, and is
// then skipped until enough rounds have refilled the credit.
type RoundRobin[T any] struct {
	config   Config
	accounts map[model.AccountID]*account[T]
	// ring holds the accounts with waiting items. The search for the next item begins at
	// index cursor.
	ring   []*account[T]
	cursor int
	round  uint64
	// waiting is the number of items in all queues.
	waiting int
}

// NewRoundRobin returns an empty queue.
func NewRoundRobin[T any](c Config) *RoundRobin[T] {
	return &RoundRobin[T]{config: c, accounts: map[model.AccountID]*account[T]{}}
}

// Len returns the number of items that wait.
func (r *RoundRobin[T]) Len() int { return r.waiting }

// Add queues an item, or refuses it when the queue of its account is full or the account's
// share of the slots cannot serve it before its deadline.
func (r *RoundRobin[T]) Add(now time.Time, item Item[T]) *model.Refusal {
	queue := r.account(item.Account)
	wait := r.estimateWait(queue)
	if len(queue.items) >= r.config.QueueLimit && !item.Urgent {
		return refuse(model.ReasonQueueFull, wait)
	}
	if !item.Deadline.IsZero() && now.Add(wait+queue.cost.mean).After(item.Deadline) && !item.Urgent {
		return refuse(model.ReasonDeadline, wait)
	}
	item.queuedAt = now
	queue.push(item)
	r.waiting++
	if len(queue.items) == 1 {
		r.activate(queue)
	}
	return nil
}

// refuse returns the refusal of an item that was not queued.
func refuse(reason model.Reason, wait time.Duration) *model.Refusal {
	return model.NewRefusal(model.RefusalConfig{
		Reason: reason, Outcome: model.OutcomeNotRun, RetryAfter: max(wait, minRetryAfter),
	})
}

// minRetryAfter is the shortest time after which a refused caller is told to retry.
const minRetryAfter = 5 * time.Millisecond

// account returns the queue of an account, and creates it for a new account.
func (r *RoundRobin[T]) account(id model.AccountID) *account[T] {
	queue, ok := r.accounts[id]
	if !ok {
		queue = &account[T]{id: id, round: r.round, cost: cost{mean: r.config.FirstCost}}
		r.accounts[id] = queue
	}
	return queue
}

// activate puts an account that has items again into the ring. The rounds that passed
// without it refill its credit: they pay off what it overdrew, and the rest is saved up to
// maxCredit. An account with credit left is put at the cursor, to be served next, since it
// stayed below its share.
func (r *RoundRobin[T]) activate(queue *account[T]) {
	missed := time.Duration(min(r.round-queue.round, maxMissedRounds))
	queue.credit = min(r.maxCredit(queue), queue.credit+missed*r.quantum(queue))
	queue.round = r.round
	if queue.credit <= 0 {
		r.ring = append(r.ring, queue)
		return
	}
	r.ring = append(r.ring, nil)
	copy(r.ring[r.cursor+1:], r.ring[r.cursor:])
	r.ring[r.cursor] = queue
}

// maxCredit returns the largest credit that an account can save.
func (r *RoundRobin[T]) maxCredit(queue *account[T]) time.Duration {
	return maxSavedRounds * r.quantum(queue)
}

// maxSavedRounds is the number of rounds whose slot time an account can save.
const maxSavedRounds = 16

// maxMissedRounds is the largest number of rounds counted for an account without items, so
// that the product with its quantum stays far from overflow.
const maxMissedRounds = 1 << 20

// quantum returns the slot time that the account gets in one round.
func (r *RoundRobin[T]) quantum(queue *account[T]) time.Duration {
	return r.config.Quantum * time.Duration(r.config.share(queue.id))
}

// Next removes and returns the item to serve next among those that fit.
func (r *RoundRobin[T]) Next(_ time.Time, fits func(T) bool) (Item[T], bool) {
	queue, at, ok := r.nextDue(fits)
	if !ok {
		return Item[T]{}, false
	}
	item := queue.take(at)
	r.waiting--
	item.estimate = queue.cost.mean
	queue.credit -= item.estimate
	queue.running++
	if len(queue.items) == 0 {
		r.deactivate(queue)
	}
	return item, true
}

// nextDue returns the account to serve next and the index of its first item that fits.
// When every account with such an item has overdrawn its credit, it advances the rounds
// until the first of them has credit again.
func (r *RoundRobin[T]) nextDue(fits func(T) bool) (*account[T], int, bool) {
	var first *account[T]
	var firstAt int
	var rounds int64
	begin := r.cursor
	for i := range r.ring {
		at := (begin + i) % len(r.ring)
		queue := r.ring[at]
		item, ok := queue.find(fits)
		if !ok {
			continue
		}
		if queue.credit > 0 {
			r.cursor = at
			return queue, item, true
		}
		need := int64(-queue.credit/r.quantum(queue)) + 1
		if first == nil || need < rounds {
			first, firstAt, rounds = queue, item, need
			r.cursor = at
		}
	}
	if first == nil {
		return nil, 0, false
	}
	r.advanceRounds(rounds)
	return first, firstAt, true
}

// advanceRounds refills the credit of every account in the ring.
func (r *RoundRobin[T]) advanceRounds(rounds int64) {
	r.round += uint64(rounds)
	for _, queue := range r.ring {
		quantum := r.quantum(queue)
		queue.credit = min(r.maxCredit(queue), queue.credit+time.Duration(rounds)*quantum)
		queue.round = r.round
	}
}

// deactivate removes an account without items from the ring. The account keeps its credit
// or debt.
func (r *RoundRobin[T]) deactivate(queue *account[T]) {
	queue.round = r.round
	for i, each := range r.ring {
		if each == queue {
			r.ring = append(r.ring[:i], r.ring[i+1:]...)
			if i < r.cursor {
				r.cursor--
			}
			break
		}
	}
	if r.cursor >= len(r.ring) {
		r.cursor = 0
	}
	r.dropIfIdle(queue)
}

// Remove removes an item whose caller stopped waiting. It returns false when none matches.
func (r *RoundRobin[T]) Remove(id model.AccountID, matches func(T) bool) bool {
	queue, ok := r.accounts[id]
	if !ok {
		return false
	}
	at, ok := queue.find(matches)
	if !ok {
		return false
	}
	queue.take(at)
	r.waiting--
	if len(queue.items) == 0 {
		r.deactivate(queue)
	}
	return true
}

// Charge replaces the estimate that Next charged by the measured slot time.
func (r *RoundRobin[T]) Charge(_ time.Time, item Item[T], measured time.Duration) {
	queue, ok := r.accounts[item.Account]
	if !ok {
		return
	}
	queue.running--
	queue.credit += item.estimate - measured
	queue.cost.add(measured)
	r.dropIfIdle(queue)
}

// dropIfIdle deletes an account without waiting and running items once there are more than
// maxIdleAccounts.
func (r *RoundRobin[T]) dropIfIdle(queue *account[T]) {
	if len(r.accounts) > maxIdleAccounts && len(queue.items) == 0 && queue.running == 0 {
		delete(r.accounts, queue.id)
	}
}

// maxIdleAccounts is the number of accounts up to which an idle account keeps its credit
// and its measured cost.
const maxIdleAccounts = 4096

// estimateWait estimates how long the next item of an account has to wait: the work in its
// own queue divided by its share of the slots, but at most the work of all queues divided
// by all slots.
func (r *RoundRobin[T]) estimateWait(queue *account[T]) time.Duration {
	own := queue.cost.mean * time.Duration(len(queue.items))
	var weights, all time.Duration
	for _, each := range r.ring {
		weights += time.Duration(r.config.share(each.id))
		all += each.cost.mean * time.Duration(len(each.items))
	}
	weight := time.Duration(r.config.share(queue.id))
	if len(queue.items) == 0 {
		weights += weight
	}
	slots := time.Duration(max(1, r.config.Slots))
	return min(own*weights/(weight*slots), all/slots)
}
