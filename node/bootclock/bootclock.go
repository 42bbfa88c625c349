// Package bootclock provides a monotonic clock that continues while the machine
// is suspended. The clock that time.Since uses stops during a suspension, so a
// lease or timeout measured with it would end late by the time of the suspension.
package bootclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// New returns a function that returns the time since the call of New.
func New() func() time.Duration {
	start := timeSinceBoot()
	return func() time.Duration { return timeSinceBoot() - start }
}

// timeSinceBoot returns the time since the machine started, including suspensions.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has this clock since version 2.6.39. Without it, nothing that depends
		// on a lease may run.
		panic("bootclock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Sleep waits for d. It returns false at once if ctx ends first. Suspensions of the machine
// do not count.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
