package limit

import "time"

// usageMeter estimates the number of tokens that a cache spends a second.
type usageMeter struct {
	perSecond float64
	count     float64
	since     time.Time
}

const (
	// usageWindow is the shortest time over which tokens are counted before they enter
	// the estimate.
	usageWindow = 50 * time.Millisecond
	// usageReset is the time after which the estimate is reset to zero, if it was neither
	// read nor updated.
	usageReset = 500 * time.Millisecond
	// usageWeight is the weight of a new window in the moving average.
	usageWeight = 0.5
)

// record counts one token.
func (u *usageMeter) record(now time.Time) {
	u.advance(now)
	u.count++
}

// rate returns the recent number of tokens a second.
func (u *usageMeter) rate(now time.Time) float64 {
	u.advance(now)
	return u.perSecond
}

// advance ends the current window if its time is over.
func (u *usageMeter) advance(now time.Time) {
	elapsed := now.Sub(u.since)
	switch {
	case elapsed >= usageReset:
		u.perSecond, u.count, u.since = 0, 0, now
	case elapsed >= usageWindow:
		u.perSecond += usageWeight * (u.count/elapsed.Seconds() - u.perSecond)
		u.count, u.since = 0, now
	}
}
