package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted. Unlike the monotonic
// clock of time.Now it includes the time during which the machine was
// suspended, and unlike the wall clock it never steps. If the kernel does not
// support CLOCK_BOOTTIME, it returns the time since the process started by the
// monotonic clock.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
