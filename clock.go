// Package spar holds the value types and interfaces that all parts of sardinespar share.
package spar

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a span of time in milliseconds.
type Millis float64

// MillisOf converts a duration to milliseconds.
func MillisOf(d time.Duration) Millis {
	return Millis(float64(d) / float64(time.Millisecond))
}

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Clock reads a source of milliseconds and waits on it.
type Clock struct {
	now   func() Millis
	timer func(Millis) *time.Timer
}

// NewClock returns a clock over the given source and timer.
func NewClock(now func() Millis, timer func(Millis) *time.Timer) Clock {
	return Clock{now: now, timer: timer}
}

// BootClock returns a clock over CLOCK_BOOTTIME, which counts the time that a VM was suspended.
// The monotonic clock of the Go runtime stands still meanwhile, so a suspended lease holder would
// take its lease for valid.
func BootClock() Clock {
	return NewClock(bootNow, newTimer)
}

// RuntimeClock returns a clock over the Go runtime's time, which is virtual in a synctest bubble.
func RuntimeClock() Clock {
	start := time.Now()

	return NewClock(func() Millis { return MillisOf(time.Since(start)) }, newTimer)
}

func bootNow() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("spar: CLOCK_BOOTTIME can't be read: " + err.Error())
	}

	return MillisOf(time.Duration(ts.Nano()))
}

func newTimer(d Millis) *time.Timer {
	return time.NewTimer(d.Duration())
}

// Now returns the time of the clock.
func (c Clock) Now() Millis {
	return c.now()
}

// Timer returns a timer that fires after d on this clock.
func (c Clock) Timer(d Millis) *time.Timer {
	return c.timer(d)
}

// Sleep waits for d and reports false if ctx ended first.
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
