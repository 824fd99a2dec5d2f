package meter

import (
	"encoding/json"
	"sync"

	"pomelofork/core/model"
)

// rate is what one client account may use over the fleet.
type rate struct {
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
}

// rates holds the rates in force by client account.
type rates struct {
	mu    sync.Mutex
	limit int
	named map[model.AccountID]rate
}

// set replaces the rate of one account. Accounts beyond the limit are left out.
func (r *rates) set(account model.AccountID, perSecond, burst float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.named == nil {
		r.named = map[model.AccountID]rate{}
	}
	if _, ok := r.named[account]; ok || len(r.named) < r.limit {
		r.named[account] = rate{perSecond, burst}
	}
}

// MarshalJSON implements json.Marshaler.
func (r *rates) MarshalJSON() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Marshal(r.named)
}
