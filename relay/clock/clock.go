// Package clock reads a clock that also counts the time in which the host is
// suspended, unlike the monotonic clock of package time. Rights that expire are
// measured with it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the host booted.
func SinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
