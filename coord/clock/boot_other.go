//go:build !linux

package clock

import "time"

// SinceBoot returns the time since the process started by the monotonic clock.
func SinceBoot() time.Duration { return time.Since(processStart) }
