// Package clock reads a clock that also counts the time for which the machine was suspended. The
// program's own deadlines and ages are measured by it, because Go's monotonic clock stops while
// the machine is suspended and the time of day may jump.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, as a time.Time. It can only be compared with
// other results of Now on the same machine since it booted.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// Every kernel that Go supports has this clock, so this error cannot occur in practice.
		panic("clock: " + err.Error())
	}
	return time.Unix(spec.Sec, spec.Nsec)
}
