package afnode

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine booted, including the time during which it was suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME: " + err.Error()) // Linux has had it since 2.6.39.
	}
	return time.Duration(ts.Nano())
}
