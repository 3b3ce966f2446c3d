package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started. Unlike the monotonic
// clock behind time.Now it also counts time in which the machine was
// suspended, and unlike the time of day it never steps. It falls back to the
// monotonic clock where the kernel does not offer it.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
