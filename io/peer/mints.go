package peer

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelofork/core/lease"
	"pomelofork/core/limit"
	"pomelofork/core/model"
)

// mints holds the buckets of the shares that this instance has. The fleet's mutex
// guards it.
type mints struct {
	fleet *Fleet
	held  map[lease.Right]*limit.Mint
	made  uint64
}

// newMints returns no buckets.
func newMints(f *Fleet) *mints { return &mints{fleet: f, held: map[lease.Right]*limit.Mint{}} }

// draw grants tokens, if this instance has authority over the share. Authority is
// checked again after the debit, because the process may have been paused in
// between; a grant that is held back then is lost, not given twice.
func (m *mints) draw(ask *DrawAsk) DrawAnswer {
	f := m.fleet
	rate, known := f.config.Limits(ask.Account)
	right := lease.AccountShare(ask.Account, ask.Share)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	answer := DrawAnswer{Epoch: f.keeper.Epoch()}
	if !known || !f.keeper.Holds(now, right) {
		f.moves.wanted(now, right)
		return answer
	}
	grant := m.mint(now, right, rate).Draw(now, ask.Ask)
	if f.keeper.Holds(f.config.Now(), right) {
		answer.Holder, answer.Answer = true, grant
	}
	return answer
}

// mint returns the bucket of a share that this instance owns.
func (m *mints) mint(now time.Time, right lease.Right, rate limit.Rate) *limit.Mint {
	share := rate.Share(right.Part)
	if mint, ok := m.held[right]; ok {
		mint.SetShare(now, share)
		return mint
	}
	since, ok := m.fleet.keeper.Since(now, right)
	if !ok {
		since = now
	}
	m.held[right] = m.make(now, share, since)
	return m.held[right]
}

// make returns a new bucket that was empty at a time.
func (m *mints) make(now time.Time, share limit.Rate, since time.Time) *limit.Mint {
	m.made++
	self := m.fleet.self
	return limit.NewMint(now, limit.MintConfig{
		ID:       xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", self.Instance, self.Incarnation, m.made)),
		Share:    share,
		Since:    since,
		Validity: m.fleet.config.Timing.Lease.Grant,
		Check:    m.fleet.config.Check,
	})
}

// moved sorts the buckets after a new record was learned. Buckets of shares that
// moved away wait for their new holders. After a gap in the epochs somebody else may
// have held a share meanwhile, so nothing of it is kept.
func (m *mints) moved(now time.Time, next bool) {
	k := m.fleet.keeper
	if !next {
		clear(m.held)
		m.fleet.moves.forgetAll()
		return
	}
	for right, mint := range m.held {
		switch _, owned := k.Since(now, right); {
		case owned:
		case k.Held(right):
			m.fleet.moves.lost(now, right, mint)
			delete(m.held, right)
		default:
			delete(m.held, right)
		}
	}
	for _, service := range m.fleet.config.Services() {
		for rank := range lease.ServiceRanks {
			if right := lease.ServiceRank(service, rank); k.Held(right) {
				m.fleet.moves.lost(now, right, nil)
			}
		}
	}
}

// share returns a share's rate, or nothing for an unknown account.
func (m *mints) share(right lease.Right) limit.Rate {
	rate, ok := m.fleet.config.Limits(model.AccountID(right.Name))
	if !ok {
		return limit.Rate{}
	}
	return rate.Share(right.Part)
}
