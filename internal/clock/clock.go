package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, including time in suspension.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux that Go supports. Elsewhere the monotonic clock is the closest
		// one.
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}

var start = time.Now()

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
