package peer

import (
	"sync"

	"pomelofork/core/limit"
	"pomelofork/core/model"
)

// purse is the wallet of one account with the requests that wait for its verdicts.
type purse struct {
	account model.AccountID

	mu      sync.Mutex
	wallet  *limit.Wallet
	waiting map[uint64]chan limit.Verdict
	next    uint64
}

// deliver passes verdicts to the requests that wait for them. The caller holds mu.
func (p *purse) deliver(verdicts []limit.Verdict) {
	for _, v := range verdicts {
		if waiting, ok := p.waiting[v.ID]; ok {
			waiting <- v
			delete(p.waiting, v.ID)
		}
	}
}

// cancel forgets a request that no longer waits.
func (p *purse) cancel(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
	p.wallet.Cancel(id)
}
