package relay

import (
	"time"

	"buckthornpick/internal/config"
)

// fate is what is known of a send that brought no answer to pass on.
type fate int

const (
	// fateUnsent: no byte left this process.
	fateUnsent fate = iota
	// fateNotRun: the server said that it did not run the request.
	fateNotRun
	// fateUnknown: the request may have run.
	fateUnknown
	// fateFailed: the server ran the request and failed.
	fateFailed
)

// situation is what the decision about a further send depends on.
type situation struct {
	fate       fate
	repetition config.Repetition
	// sends counts the servers that the request was sent to, attempts bounds
	// them.
	sends, attempts int
	// unsent counts the sends that never left.
	unsent int
	left   time.Duration
}

const (
	// leastLeft is the time below which no further send can be answered: a round
	// trip between zones and the shortest work of the services.
	leastLeft = 25 * time.Millisecond
	// maxUnsent bounds the servers that are tried in vain.
	maxUnsent = 3
)

// step is what follows a send without an answer.
type step int

const (
	stepEnd step = iota
	// stepTimeout ends the request because its deadline has passed.
	stepTimeout
	// stepAgain sends once more without taking from the budget: nothing has
	// arrived anywhere.
	stepAgain
	// stepRepeat sends once more if the budget of repeats allows.
	stepRepeat
)

// next decides what follows a send without an answer. A request that runs once
// is sent again only if the server has not seen it or has not run it. It answers
// failing servers and lost answers: the budget, and not this decision, keeps
// repeats from multiplying the load.
func next(s situation) step {
	if s.left <= 0 {
		return stepTimeout
	}
	if s.left < leastLeft {
		return stepEnd
	}
	switch s.fate {
	case fateUnsent:
		if s.unsent >= maxUnsent {
			return stepEnd
		}
		return stepAgain
	case fateUnknown, fateFailed:
		if s.repetition == config.RunOnce {
			return stepEnd
		}
	}
	if s.sends >= max(s.attempts, 1) {
		return stepEnd
	}
	return stepRepeat
}

const (
	// callerGap, targetGaps and pauseGaps give the silence after which callers
	// abandon a stream: the longest of 2 s, four targets and eight pauses.
	callerGap  = 2 * time.Second
	targetGaps = 4
	pauseGaps  = 8
	// firstTokenShare is the part of that silence within which the first event
	// must be expected for a request to be sent.
	firstTokenShare = 0.8
)

// callerSilence returns the silence after which callers abandon a stream.
func callerSilence(c *config.CallPolicy) time.Duration {
	return max(callerGap, targetGaps*millis(c.TargetMillis), pauseGaps*millis(c.TargetGapMillis))
}

// firstTokenWithin returns the predicted time to the first token beyond which a
// stream is refused at once: waiting longer only occupies the server until the
// caller leaves. It answers overload of the model engines.
func firstTokenWithin(c *config.CallPolicy, left time.Duration) time.Duration {
	if !c.Stream {
		return 0
	}
	return min(left, time.Duration(firstTokenShare*float64(callerSilence(c))))
}

const (
	// stallPauses and leastStall give the silence within a stream after which a
	// resumable one goes on elsewhere, early enough for the caller to stay.
	stallPauses = 3
	leastStall  = 600 * time.Millisecond
)

// stallLimit returns how long a resumable stream may be silent between events.
func stallLimit(c *config.CallPolicy) time.Duration {
	return max(leastStall, stallPauses*millis(c.TargetGapMillis))
}

// tryShare is the part of the time left that a call that may be repeated gets
// before it is sent elsewhere.
const tryShare = 0.5

// tryTimeout bounds one send of a plain call. Only a repeatable one with a send
// left ends early: a server that hangs is then left for another one.
func tryTimeout(c *config.CallPolicy, sends int, left time.Duration) time.Duration {
	if c.Stream || c.Repetition != config.Repeatable || sends >= c.Attempts {
		return left
	}
	return time.Duration(tryShare * float64(left))
}
