package dispatch

import (
	"time"

	"buckthornpick/internal/backend"
)

// stallTimer interrupts an attempt at an engine that sends nothing for too
// long: its connection may be dead without either side having been told. The
// owner then attaches again, which an engine that is merely slow answers at
// once. Plain services send their answer in one piece and are not watched.
type stallTimer struct{ timer *time.Timer }

// watchStall starts a timer of the given length for the attempt.
func (e *execution) watchStall(a *attempt, d time.Duration) *stallTimer {
	if a.target.Class != backend.Engine {
		return &stallTimer{}
	}
	return &stallTimer{timer: time.AfterFunc(d, func() { e.interruptAttempt(errStalled) })}
}

// reset starts the time again.
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
