// Package clock provides a clock that is not stopped when the host is suspended.
//
// # Usage
//
//	began := clock.Boot()
//	age := clock.Boot().Sub(began)
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since boot as a time since 1970. Unlike Go's monotonic clock it includes the
// time during which the host was suspended.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().Round(0)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
