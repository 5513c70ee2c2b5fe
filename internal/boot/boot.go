// Package boot reads the time since the machine's boot, suspensions included. Lease terms are
// measured with it: Go's monotonic clock stops while a machine is suspended, so a holder that was
// suspended would still believe in a lease that another holder has taken since.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, by CLOCK_BOOTTIME. Where that clock can't be read it falls back
// to the system's wall clock, counted from a fixed moment so that differences between readings
// hold unless the wall clock is set.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(fallbackEpoch())
	}
	return time.Duration(ts.Nano())
}

// fallbackEpoch returns the fixed moment that readings of the fallback clock count from.
func fallbackEpoch() time.Time { return time.Unix(0, 0) }
