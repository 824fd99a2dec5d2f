package peer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pomelofork/core/lease"
	"pomelofork/core/limit"
	"pomelofork/core/model"
)

// newIssuers returns the set of this instance's token issuers.
func (f *Fleet) newIssuers() *limit.IssuerSet {
	var created uint64
	return limit.NewIssuerSet(limit.IssuerSetConfig{
		Leases: f.leases,
		Rate: func(account string) limit.Rate {
			rate, _ := f.config.Limits(model.AccountID(account))
			return rate
		},
		NewIssuerID: func() uint64 {
			created++
			return xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", f.self.Instance, f.self.Incarnation, created))
		},
		Timing: f.config.Timing.Lease,
		Check:  f.config.Check,
	})
}

// draw grants tokens of a share, if this instance has authority over the share. Authority
// is checked again after the tokens were debited, because the process may have been paused
// in between. If authority has ended by then, the grant is withheld: its tokens are lost,
// but they can't be issued a second time by the next holder.
func (f *Fleet) draw(request *DrawRequest) DrawResponse {
	right := lease.AccountShare(request.Account, request.Share)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	response := DrawResponse{Epoch: f.leases.Epoch()}
	grant, ok := f.issuers.Draw(now, right, request.Ask)
	if !ok {
		f.handovers.fetchIfWaiting(now, right)
		return response
	}
	if f.leases.Holds(f.config.Now(), right) {
		response.Holder, response.Answer = true, grant
	}
	return response
}

// serviceRights returns the rights to all ranks of all services.
func (f *Fleet) serviceRights() []lease.Right {
	var rights []lease.Right
	for _, service := range f.config.Services() {
		for rank := range lease.ServiceRanks {
			rights = append(rights, lease.ServiceRank(service, rank))
		}
	}
	return rights
}
