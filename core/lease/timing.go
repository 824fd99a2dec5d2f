package lease

import (
	"fmt"
	"time"
)

// Timing holds the durations of rights. All instances must use the same.
type Timing struct {
	// Hold is the time for which evidence of the own epoch gives authority.
	Hold time.Duration
	// Grant is the time for which a grant of tokens is valid, from when it was
	// asked for.
	Grant time.Duration
	// Take is the time a successor waits after more than half of the members know
	// the new epoch. It covers Hold and Grant and the difference of clock rates.
	Take time.Duration
	// Drain is the time for which a former gateway may finish what runs.
	Drain time.Duration
}

// clockMargin is the divisor of the largest difference between the rates of two
// clocks: a tenth.
const clockMargin = 10

// DefaultTiming returns the durations that servers use.
func DefaultTiming() Timing {
	return Timing{Hold: 3 * time.Second, Grant: time.Second, Take: 5 * time.Second, Drain: 10 * time.Second}
}

// Validate reports whether a successor's wait covers the predecessor's use.
func (t Timing) Validate() error {
	use := t.Hold + t.Grant
	if t.Take < use+use/clockMargin {
		return fmt.Errorf("take %v is too short for hold %v and grant %v", t.Take, t.Hold, t.Grant)
	}
	if t.Hold <= 0 || t.Grant <= 0 || t.Drain < 0 {
		return fmt.Errorf("hold %v, grant %v and drain %v must be positive", t.Hold, t.Grant, t.Drain)
	}
	return nil
}
