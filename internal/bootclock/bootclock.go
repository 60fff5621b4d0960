// Package bootclock reads a monotonic clock that keeps counting while the machine is suspended. Go's monotonic clock
// stops during a suspend, so this clock measures ages that must not be underestimated.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including time spent suspended. It panics if the kernel has no
// CLOCK_BOOTTIME.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("kernel does not support CLOCK_BOOTTIME (Linux 2.6.39 or later is required): " + err.Error())
	}
	return time.Duration(now.Nano())
}
