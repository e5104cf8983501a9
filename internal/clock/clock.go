// Package clock reads clocks that leases and the age of beliefs are counted on.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary start. It counts the time for which
// the machine was suspended, which Go's monotonic clock does not.
type Clock func() time.Duration

// Boot is the operating system's clock since boot.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

// Virtual follows time.Now, for tests that run in virtual time.
func Virtual() time.Duration { return time.Since(virtualStart) }

// virtualStart is before the first instant of a testing/synctest bubble.
var virtualStart = time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// stepTolerance separates a step of the time of day from its drift.
	stepTolerance = 150 * time.Millisecond
	// stepPatience is the time after which a step is taken as a correction.
	stepConfirmTime = 60 * time.Second
)

// Wall is the time of day without its temporary steps: it goes on by the steady
// clock, and follows a step only if that has lasted. It is not safe for
// concurrent use.
type Wall struct {
	monotonic Clock
	now       func() time.Time
	offset    time.Duration // time of day less the steady clock
	stepSince time.Duration // steady time of the first reading that disagreed; 0 is none
}

// NewWall starts from the present time of day.
func NewWall(monotonic Clock, now func() time.Time) *Wall {
	w := &Wall{monotonic: monotonic, now: now}
	w.offset = w.currentOffset()
	return w
}

func (w *Wall) currentOffset() time.Duration {
	return time.Duration(w.now().UnixNano()) - w.monotonic()
}

// Now returns the time since the start of 1970.
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
