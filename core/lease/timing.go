package lease

import (
	"fmt"
	"time"
)

// Timing holds the durations that rights depend on. All instances must use the same.
type Timing struct {
	// EvidenceValidity is the time for which a confirmation of this instance's epoch, by
	// the store or by more than half of the members, gives it authority.
	EvidenceValidity time.Duration
	// GrantValidity is the time for which granted tokens are valid, counted from when they
	// were requested.
	GrantValidity time.Duration
	// TakeoverWait is the time that a successor waits after more than half of the members
	// know the new epoch. It covers EvidenceValidity and GrantValidity and the difference
	// between clock rates.
	TakeoverWait time.Duration
	// DrainTimeout is the time for which a former gateway may finish running transactions.
	DrainTimeout time.Duration
}

// clockRateDivisor is the divisor of the largest difference between the rates of two
// clocks: one tenth.
const clockRateDivisor = 10

// DefaultTiming returns the durations that servers use.
func DefaultTiming() Timing {
	return Timing{EvidenceValidity: 3 * time.Second, GrantValidity: time.Second, TakeoverWait: 5 * time.Second, DrainTimeout: 10 * time.Second}
}

// Validate returns an error when a duration is not positive, or when TakeoverWait is too
// short to be sure that the former holder has stopped. DrainTimeout may be zero.
func (t Timing) Validate() error {
	use := t.EvidenceValidity + t.GrantValidity
	if t.TakeoverWait < use+use/clockRateDivisor {
		return fmt.Errorf("takeover wait %v is shorter than 1.1 times the sum of evidence validity %v and grant validity %v", t.TakeoverWait, t.EvidenceValidity, t.GrantValidity)
	}
	if t.EvidenceValidity <= 0 || t.GrantValidity <= 0 || t.DrainTimeout < 0 {
		return fmt.Errorf("evidence validity %v and grant validity %v must be positive, and drain timeout %v must not be negative", t.EvidenceValidity, t.GrantValidity, t.DrainTimeout)
	}
	return nil
}
