// Package bootclock reads CLOCK_BOOTTIME, which also advances while the host is suspended. The
// monotonic clock of package time stops during suspension, so a process that was suspended for
// seconds would treat its expired leases as valid.
package bootclock

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, including the time it was suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.Wrap(err, "read CLOCK_BOOTTIME, which Linux has since 2.6.39"))
	}
	return time.Duration(ts.Nano())
}
