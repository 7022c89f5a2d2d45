// Package bootclock reads the clock that counts from the start of the machine and
// goes on while the machine is suspended. The monotonic clock of package time stands
// still then.
package bootclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Can't happen: Linux has had this clock since 2.6.39.
		panic(fmt.Sprintf("bootclock: %v", err))
	}
	return time.Duration(now.Nano())
}
