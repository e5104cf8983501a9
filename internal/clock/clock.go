// Package clock provides the clocks that measure leases and the age of cached
// state.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary, fixed point. Unlike Go's monotonic
// clock it includes the time during which the machine was suspended.
type Clock func() time.Duration

// Boot is a Clock that returns the time since the machine booted.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

// Virtual is a Clock based on time.Now, for tests that run in the virtual time
// of testing/synctest.
func Virtual() time.Duration { return time.Since(virtualStart) }

// virtualStart is before the first instant of a testing/synctest bubble.
var virtualStart = time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// stepTolerance is the largest deviation of the wall clock that is ignored
	// as drift; a larger one is a step.
	stepTolerance = 150 * time.Millisecond
	// stepConfirmTime is how long a step must persist before it is adopted as a
	// correction of the wall clock.
	stepConfirmTime = 60 * time.Second
)

// Wall is a wall clock that filters out temporary steps: it advances with a
// monotonic clock and adopts a step of the system's wall clock only after the
// step has persisted for stepConfirmTime. It is not safe for concurrent use.
type Wall struct {
	monotonic Clock
	now       func() time.Time
	offset    time.Duration // wall clock minus monotonic clock
	stepSince time.Duration // monotonic time at which the current step was first seen; 0 if there is none
}

// NewWall returns a Wall that starts at the current time of now.
func NewWall(monotonic Clock, now func() time.Time) *Wall {
	w := &Wall{monotonic: monotonic, now: now}
	w.offset = w.currentOffset()
	return w
}

// currentOffset returns the present difference between the two clocks.
func (w *Wall) currentOffset() time.Duration {
	return time.Duration(w.now().UnixNano()) - w.monotonic()
}

// Now returns the time since the Unix epoch.
func (w *Wall) Now() time.Duration {
	mono, offset := w.monotonic(), w.currentOffset()
	deviation := offset - w.offset
	switch {
	case deviation.Abs() <= stepTolerance:
		w.stepSince = 0
	case w.stepSince == 0:
		w.stepSince = mono
	case mono-w.stepSince > stepConfirmTime:
		w.offset, w.stepSince = offset, 0
	}
	return mono + w.offset
}
