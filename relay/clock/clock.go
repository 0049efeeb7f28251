// Package clock reads the boot-time clock (CLOCK_BOOTTIME). Unlike the monotonic
// clock of package time it goes on while the host is suspended, so that grants and
// leases also expire during a suspension.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the host booted, including suspensions.
func SinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// NewSinceBoot returns SinceBoot as a function that cannot fail, or an error if the
// clock cannot be read.
func NewSinceBoot() (func() time.Duration, error) {
	begin, err := SinceBoot()
	if err != nil {
		return nil, err
	}
	created := time.Now()
	return func() time.Duration {
		now, err := SinceBoot()
		if err != nil {
			return begin + time.Since(created)
		}
		return now
	}, nil
}
