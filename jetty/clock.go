package jetty

import (
	"time"

	"golang.org/x/sys/unix"

	"hornbeamwinch.example/mooring"
)

// clockOrigin is the zero of the monotonic clock.
var clockOrigin = time.Now()

// monotonicNow reads a clock that neither jumps nor advances while the machine
// is suspended. Requests are timed with it.
func monotonicNow() mooring.Instant {
	return instantOf(time.Now())
}

// instantOf converts a time to the monotonic clock.
func instantOf(t time.Time) mooring.Instant {
	return mooring.Instant(t.Sub(clockOrigin))
}

// timeOf converts an instant of the monotonic clock to a time.
func timeOf(at mooring.Instant) time.Time {
	return clockOrigin.Add(time.Duration(at))
}

// bootTimeNow reads a clock that also advances while the machine is suspended.
// Leases and holds are timed with it, since they expire during a suspension too.
func bootTimeNow() mooring.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every supported kernel has this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return mooring.Instant(t.Nano())
}
