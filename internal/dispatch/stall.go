package dispatch

import (
	"time"

	"buckthornpick/internal/backend"
)

// stallTimer interrupts an attempt at an engine that sends nothing for too long,
// because its connection may be broken without either side having noticed. The
// owner then reattaches, to which an engine that is only slow responds at once.
// Plain services send their answer in one piece and have no stall timer.
type stallTimer struct{ timer *time.Timer }

// watchStall starts a stall timer of duration d for the attempt.
func (e *execution) watchStall(a *attempt, d time.Duration) *stallTimer {
	if a.target.Class != backend.Engine {
		return &stallTimer{}
	}
	return &stallTimer{timer: time.AfterFunc(d, func() { e.interruptAttempt(errStalled) })}
}

// reset restarts the timer with duration d.
func (s *stallTimer) reset(d time.Duration) {
	if s.timer != nil {
		s.timer.Reset(d)
	}
}

func (s *stallTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
