// Package bootclock reads a steady clock that also counts the time in which the machine was suspended. Go's monotonic
// clock stands still meanwhile, so an age that must not be underestimated is measured with this one.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, suspensions included.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("the kernel offers no CLOCK_BOOTTIME, which Linux has since 2.6.39: " + err.Error())
	}
	return time.Duration(now.Nano())
}
