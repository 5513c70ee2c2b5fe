// Package boot tells the time since the machine's start, pauses included. Leases
// are measured with it: Go's monotonic clock stands still while a machine is
// suspended, and a holder that was suspended would believe in a lease that
// another has long taken.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now reads CLOCK_BOOTTIME. Where that clock can't be read it falls back to the
// process's own, which is right but for suspensions.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(fallback())
	}
	return time.Duration(ts.Nano())
}

// fallback is a fixed moment, so that differences between readings hold.
func fallback() time.Time { return time.Unix(0, 0) }
