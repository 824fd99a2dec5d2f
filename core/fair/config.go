package fair

import (
	"time"

	"pomelofork/core/model"
)

// Config holds the settings of a policy.
type Config struct {
	// Slots is the number of slots that the waiting items share.
	Slots int
	// QueueLimit is the largest number of items that may wait for one client account.
	QueueLimit int
	// Quantum is the slot time that an account with a share of 1 gets in one round.
	Quantum time.Duration
	// FirstCost is the cost assumed for an account until one of its items was measured.
	FirstCost time.Duration
	// Share returns the weight of a client account. Values under 1 count as 1. A nil Share
	// gives each account a weight of 1.
	Share func(model.AccountID) int
}

// share returns the weight of an account, at least 1.
func (c Config) share(account model.AccountID) int {
	if c.Share == nil {
		return 1
	}
	return max(1, c.Share(account))
}
