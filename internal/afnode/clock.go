package afnode

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine's start, suspension included.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME: " + err.Error()) // Linux has had it since 2.6.39.
	}
	return time.Duration(t.Nano())
}
