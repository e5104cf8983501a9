package relay

import (
	"time"

	"buckthornpick/internal/config"
)

// fate is what is known of a send that brought no answer to pass on.
type attemptOutcome int

const (
	// fateUnsent: no byte left this process.
	outcomeNotSent attemptOutcome = iota
	// fateNotRun: the server said that it did not run the request.
	outcomeNotRun
	// fateUnknown: the request may have run.
	outcomeUnknown
	// fateFailed: the server ran the request and failed.
	outcomeServerFailed
)

// situation is what the decision about a further send depends on.
type retryState struct {
	outcome    attemptOutcome
	repetition config.Repetition
	// sends counts the servers that the request was sent to, attempts bounds
	// them.
	sends, maxSends int
	// unsent counts the sends that never left.
	unsentCount int
	remaining   time.Duration
}

const (
	// leastLeft is the time below which no further send can be answered: a round
	// trip between zones and the shortest work of the services.
	minRemaining = 25 * time.Millisecond
	// maxUnsent bounds the servers that are tried in vain.
	maxUnsentSends = 3
)

// step is what follows a send without an answer.
type nextAction int

const (
	actionEnd nextAction = iota
	// stepTimeout ends the request because its deadline has passed.
	actionTimeout
	// stepAgain sends once more without taking from the budget: nothing has
	// arrived anywhere.
	actionRetryUnbudgeted
	// stepRepeat sends once more if the budget of repeats allows.
	actionRetryBudgeted
)

// next decides what follows a send without an answer. A request that runs once
// is sent again only if the server has not seen it or has not run it. It answers
// failing servers and lost answers: the budget, and not this decision, keeps
// repeats from multiplying the load.
func decideNextAction(s retryState) nextAction {
	if s.remaining <= 0 {
		return actionTimeout
	}
	if s.remaining < minRemaining {
		return actionEnd
	}
	switch s.outcome {
	case outcomeNotSent:
		if s.unsentCount >= maxUnsentSends {
			return actionEnd
		}
		return actionRetryUnbudgeted
	case outcomeUnknown, outcomeServerFailed:
		if s.repetition == config.RunOnce {
			return actionEnd
		}
	}
	if s.sends >= max(s.maxSends, 1) {
		return actionEnd
	}
	return actionRetryBudgeted
}

const (
	// callerGap, targetGaps and pauseGaps give the silence after which callers
	// abandon a stream: the longest of 2 s, four targets and eight pauses.
	minCallerStreamTimeout = 2 * time.Second
	callerTimeoutTargets   = 4
	callerTimeoutGaps      = 8
	// firstTokenShare is the part of that silence within which the first event
	// must be expected for a request to be sent.
	firstTokenFraction = 0.8
)

// callerSilence returns the silence after which callers abandon a stream.
func callerStreamTimeout(policy *config.CallPolicy) time.Duration {
	return max(minCallerStreamTimeout, callerTimeoutTargets*millis(policy.TargetMillis), callerTimeoutGaps*millis(policy.TargetGapMillis))
}

// firstTokenWithin returns the predicted time to the first token beyond which a
// stream is refused at once: waiting longer only occupies the server until the
// caller leaves. It answers overload of the model engines.
func maxTimeToFirstToken(policy *config.CallPolicy, remaining time.Duration) time.Duration {
	if !policy.Stream {
		return 0
	}
	return min(remaining, time.Duration(firstTokenFraction*float64(callerStreamTimeout(policy))))
}

const (
	// stallPauses and leastStall give the silence within a stream after which a
	// resumable one goes on elsewhere, early enough for the caller to stay.
	stallTimeoutGaps = 3
	minStallTimeout  = 600 * time.Millisecond
)

// stallLimit returns how long a resumable stream may be silent between events.
func stallTimeout(policy *config.CallPolicy) time.Duration {
	return max(minStallTimeout, stallTimeoutGaps*millis(policy.TargetGapMillis))
}

// tryShare is the part of the time left that a call that may be repeated gets
// before it is sent elsewhere.
const attemptTimeFraction = 0.5

// tryTimeout bounds one send of a plain call. Only a repeatable one with a send
// left ends early: a server that hangs is then left for another one.
func attemptTimeout(policy *config.CallPolicy, sends int, remaining time.Duration) time.Duration {
	if policy.Stream || policy.Repetition != config.Repeatable || sends >= policy.Attempts {
		return remaining
	}
	return time.Duration(attemptTimeFraction * float64(remaining))
}
