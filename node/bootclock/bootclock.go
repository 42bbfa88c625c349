// Package bootclock reads a monotonic clock that also counts the time in which
// the machine is suspended. The clock behind time.Since stands still then, so a
// lease or a time-out measured with it would outlive the suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// New returns a clock that starts at zero.
func New() func() time.Duration {
	start := read()
	return func() time.Duration { return read() - start }
}

func read() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel has had this clock since 2.6.39; without it nothing that
		// depends on a lease may run.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
