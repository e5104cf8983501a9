package relay

import (
	"time"

	"buckthornpick/internal/config"
)

// sendOutcome classifies a send that produced no response for the caller by
// whether the backend server may have run the request.
type sendOutcome int

const (
	// outcomeNotSent: no byte was written to a connection.
	outcomeNotSent sendOutcome = iota
	// outcomeNotRun: the server reported that it did not run the request.
	outcomeNotRun
	// outcomeUnknown: the request may have run.
	outcomeUnknown
	// outcomeServerFailed: the server responded with a failure and did not report
	// that the request had not run.
	outcomeServerFailed
	// outcomeNoPath: neither this entry nor another one has a path to servers.
	outcomeNoPath
)

// retryState is the input of decideNextAction.
type retryState struct {
	outcome    sendOutcome
	repetition config.Repetition
	// sends is the number of servers that the request was sent to, and maxSends
	// its limit.
	sends, maxSends int
	// unsentCount is the number of sends that ended with outcomeNotSent.
	unsentCount int
	// remaining is the time until the request's deadline.
	remaining time.Duration
}

const (
	// minRemaining is the remaining time below which no retry is made, since a round
	// trip between availability zones and the fastest service take about that long.
	minRemaining = 25 * time.Millisecond
	// maxUnsentSends limits the number of unreachable servers that are tried for a
	// request.
	maxUnsentSends = 3
)

// nextAction is what the relay does after a send that produced no response.
type nextAction int

const (
	// actionEnd refuses the request.
	actionEnd nextAction = iota
	// actionTimeout ends the request because its deadline has passed.
	actionTimeout
	// actionRetryUnbudgeted sends again without charging the retry budget, since
	// no server received the request.
	actionRetryUnbudgeted
	// actionRetryBudgeted sends again if the retry budget allows.
	actionRetryBudgeted
)

// decideNextAction decides how to proceed after a send that produced no response,
// for example because the server failed or the response was lost. A run-once
// request is sent again only if the server did not receive it or did not run it.
// The retry budget, not this function, keeps retries from multiplying the load.
func decideNextAction(s retryState) nextAction {
	if s.remaining <= 0 {
		return actionTimeout
	}
	if s.remaining < minRemaining {
		return actionEnd
	}
	switch s.outcome {
	case outcomeNoPath:
		return actionEnd
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
	// Callers abandon a stream that is silent for the longest of these:
	// minCallerStreamTimeout, callerTimeoutTargets times the latency target and
	// callerTimeoutGaps times the target gap between events.
	minCallerStreamTimeout = 2 * time.Second
	callerTimeoutTargets   = 4
	callerTimeoutGaps      = 8
	// firstTokenFraction is the fraction of that time by which the first event must
	// be predicted to arrive for a stream to be sent.
	firstTokenFraction = 0.8
)

// callerStreamTimeout returns how long a stream may be silent before callers
// abandon it.
func callerStreamTimeout(policy *config.CallPolicy) time.Duration {
	return max(minCallerStreamTimeout, callerTimeoutTargets*millis(policy.TargetMillis), callerTimeoutGaps*millis(policy.TargetGapMillis))
}

// maxTimeToFirstToken returns the highest predicted time to the first token with
// which a stream is still sent; 0 is no limit. When the model engines are
// overloaded, a stream that is sent despite a longer prediction only occupies
// the server until its caller disconnects.
func maxTimeToFirstToken(policy *config.CallPolicy, remaining time.Duration) time.Duration {
	if !policy.Stream {
		return 0
	}
	return min(remaining, time.Duration(firstTokenFraction*float64(callerStreamTimeout(policy))))
}

const (
	// A resumable stream is moved to another server after a silence of
	// stallTimeoutGaps target gaps, but at least minStallTimeout. Both are short
	// enough that the stream continues before the caller abandons it.
	stallTimeoutGaps = 3
	minStallTimeout  = 600 * time.Millisecond
)

// stallTimeout returns how long a resumable stream may be silent between events.
func stallTimeout(policy *config.CallPolicy) time.Duration {
	return max(minStallTimeout, stallTimeoutGaps*millis(policy.TargetGapMillis))
}

// sendTimeFraction is the fraction of the remaining time that one send of a
// repeatable call may take before the call is also sent to a second server.
const sendTimeFraction = 0.5

// sendTimeout returns the time after which a second send is made beside one that has
// no answer. It is less than the remaining time only for a repeatable call that is
// not a stream and has a send left.
func sendTimeout(policy *config.CallPolicy, sends int, remaining time.Duration) time.Duration {
	if policy.Stream || policy.Repetition != config.Repeatable || sends >= policy.Attempts {
		return remaining
	}
	return time.Duration(sendTimeFraction * float64(remaining))
}
