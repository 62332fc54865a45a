package jetty

import (
	"time"

	"golang.org/x/sys/unix"

	"hornbeamwinch.example/mooring"
)

// clockOrigin anchors the steady clock.
var clockOrigin = time.Now()

// monotonicNow reads a clock that neither jumps nor runs while the machine is
// suspended. It measures requests.
func monotonicNow() mooring.Instant {
	return instantOf(time.Now())
}

// instantOf converts a time to the steady clock.
func instantOf(t time.Time) mooring.Instant {
	return mooring.Instant(t.Sub(clockOrigin))
}

// bootTimeNow reads a clock that runs on while the machine is suspended. It
// measures leases and holds, which end without regard to this host.
func bootTimeNow() mooring.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every supported kernel.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return mooring.Instant(t.Nano())
}
