// Package spar holds the value types and interfaces that all parts of sardinespar share.
package spar

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a duration in milliseconds.
type Millis float64

// MillisOf converts a duration to milliseconds.
func MillisOf(d time.Duration) Millis {
	return Millis(float64(d) / float64(time.Millisecond))
}

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Clock reads a time source and creates timers on it.
type Clock struct {
	now   func() Millis
	timer func(Millis) *time.Timer
}

// NewClock returns a clock over the given source and timer.
func NewClock(now func() Millis, timer func(Millis) *time.Timer) Clock {
	return Clock{now: now, timer: timer}
}

// BootClock returns a clock over CLOCK_BOOTTIME, which includes the time during which a VM was suspended.
// The monotonic clock of the Go runtime does not advance then, so a lease holder would still consider its
// lease valid after a suspension.
func BootClock() Clock {
	return NewClock(bootNow, newTimer)
}

// RuntimeClock returns a clock over the Go runtime's time, which is virtual in a synctest bubble. Its zero is
// the time of this call.
func RuntimeClock() Clock {
	start := time.Now()

	return NewClock(func() Millis { return MillisOf(time.Since(start)) }, newTimer)
}

func bootNow() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("spar: read CLOCK_BOOTTIME: " + err.Error())
	}

	return MillisOf(time.Duration(ts.Nano()))
}

func newTimer(d Millis) *time.Timer {
	return time.NewTimer(d.Duration())
}

// Now returns the current time in milliseconds since the zero of the clock's source.
func (c Clock) Now() Millis {
	return c.now()
}

// Timer returns a timer that fires after d.
func (c Clock) Timer(d Millis) *time.Timer {
	return c.timer(d)
}

// Sleep waits for d. It reports false if ctx ends first.
func (c Clock) Sleep(ctx context.Context, d Millis) bool {
	t := c.timer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
