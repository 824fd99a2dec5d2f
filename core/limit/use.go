package limit

import "time"

// useMeter estimates how many tokens a wallet spends in a second.
type useMeter struct {
	perSecond float64
	count     float64
	since     time.Time
}

// The durations of the estimate.
const (
	useWindow = 50 * time.Millisecond
	useForget = 500 * time.Millisecond
	useWeight = 0.5
)

// note counts one token.
func (u *useMeter) note(now time.Time) {
	u.roll(now)
	u.count++
}

// rate returns the tokens spent in a second, by recent use.
func (u *useMeter) rate(now time.Time) float64 {
	u.roll(now)
	return u.perSecond
}

// roll closes the window when its time is over.
func (u *useMeter) roll(now time.Time) {
	elapsed := now.Sub(u.since)
	switch {
	case elapsed >= useForget:
		u.perSecond, u.count, u.since = 0, 0, now
	case elapsed >= useWindow:
		u.perSecond += useWeight * (u.count/elapsed.Seconds() - u.perSecond)
		u.count, u.since = 0, now
	}
}
