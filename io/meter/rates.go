package meter

import (
	"encoding/json"
	"sync"

	"pomelofork/core/model"
)

// rate is the limit of one client account over all instances: tokens per second, and the
// burst in tokens.
type rate struct {
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
}

// rates holds the rate in force of each client account.
type rates struct {
	mu     sync.Mutex
	limit  int
	byName map[model.AccountID]rate
}

// set sets the rate of one account. It ignores further accounts once the limit is reached.
func (r *rates) set(account model.AccountID, perSecond, burst float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byName == nil {
		r.byName = map[model.AccountID]rate{}
	}
	if _, ok := r.byName[account]; ok || len(r.byName) < r.limit {
		r.byName[account] = rate{perSecond, burst}
	}
}

// MarshalJSON implements json.Marshaler.
func (r *rates) MarshalJSON() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Marshal(r.byName)
}
