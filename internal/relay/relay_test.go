package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
)

func TestRetryDecision(t *testing.T) {
	base := retryState{repetition: config.RunOnce, sends: 1, maxSends: 1, remaining: time.Second}
	for _, tc := range []struct {
		name   string
		change func(*retryState)
		want   nextAction
	}{
		{"run once, may have run", func(s *retryState) { s.outcome, s.maxSends = outcomeUnknown, 3 }, actionEnd},
		{"run once, server failed", func(s *retryState) { s.outcome, s.maxSends = outcomeServerFailed, 3 }, actionEnd},
		{"run once, server did not run it", func(s *retryState) { s.outcome, s.maxSends = outcomeNotRun, 2 }, actionRetryBudgeted},
		{"run once, all sends used", func(s *retryState) { s.outcome = outcomeNotRun }, actionEnd},
		{"run once, not sent", func(s *retryState) { s.outcome, s.sends, s.unsentCount = outcomeNotSent, 0, 1 }, actionRetryUnbudgeted},
		{"too many unreachable servers", func(s *retryState) { s.outcome, s.unsentCount = outcomeNotSent, maxUnsentSends }, actionEnd},
		{"repeatable, may have run", func(s *retryState) {
			s.outcome, s.repetition, s.maxSends = outcomeUnknown, config.Repeatable, 2
		}, actionRetryBudgeted},
		{"resumable, server failed", func(s *retryState) { s.outcome, s.repetition, s.maxSends = outcomeServerFailed, config.Resumable, 2 }, actionRetryBudgeted},
		{"less than the minimum time remaining", func(s *retryState) {
			s.outcome, s.repetition, s.maxSends, s.remaining = outcomeUnknown, config.Repeatable, 2, minRemaining-1
		}, actionEnd},
		{"deadline has passed", func(s *retryState) { s.outcome, s.remaining = outcomeUnknown, 0 }, actionTimeout},
		{"deadline has passed before a server was reached", func(s *retryState) {
			s.outcome, s.sends, s.unsentCount, s.remaining = outcomeNotSent, 0, 1, -time.Microsecond
		}, actionTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := base
			tc.change(&s)
			require.Equal(t, tc.want, decideNextAction(s))
		})
	}
}

func TestStreamsAreRefusedOnlyIfCallerWouldTimeOut(t *testing.T) {
	quick := &config.CallPolicy{Stream: true, TargetMillis: 400, TargetGapMillis: 200}
	slow := &config.CallPolicy{Stream: true, TargetMillis: 800, TargetGapMillis: 200}
	require.Equal(t, 2*time.Second, callerStreamTimeout(quick))
	require.Equal(t, 3200*time.Millisecond, callerStreamTimeout(slow))
	require.Less(t, maxTimeToFirstToken(quick, time.Minute), callerStreamTimeout(quick))
	require.Equal(t, 100*time.Millisecond, maxTimeToFirstToken(quick, 100*time.Millisecond))
	require.Zero(t, maxTimeToFirstToken(&config.CallPolicy{}, time.Minute))
}

func TestOnlyRepeatableCallsAreRetriedBeforeTheirDeadline(t *testing.T) {
	remaining := time.Second
	require.Equal(t, remaining/2, sendTimeout(&config.CallPolicy{Repetition: config.Repeatable, Attempts: 2}, 1, remaining))
	require.Equal(t, remaining, sendTimeout(&config.CallPolicy{Repetition: config.Repeatable, Attempts: 2}, 2, remaining), "last send")
	require.Equal(t, remaining, sendTimeout(&config.CallPolicy{Repetition: config.RunOnce, Attempts: 2}, 1, remaining))
	require.Equal(t, remaining, sendTimeout(&config.CallPolicy{Repetition: config.Resumable, Stream: true, Attempts: 2}, 1, remaining))
}

// A service may fail one call in seven while its servers are healthy, so such a
// server must not be avoided; one that fails half of its calls must be.
func TestFailingOrUnreachableServerIsAvoidedTemporarily(t *testing.T) {
	suspectedAtFailureEvery := func(interval int) (suspected bool) {
		h := &health{}
		for i := range 200 {
			now := time.Duration(i) * 20 * time.Millisecond
			h.recordOutcome(now, i%interval != 0)
			suspected = suspected || h.isSuspect(now)
		}
		return suspected
	}
	require.False(t, suspectedAtFailureEvery(7))
	require.True(t, suspectedAtFailureEvery(2))
	h := &health{}
	h.recordUnreachable(0)
	require.True(t, h.isSuspect(minUnreachableBackoff-1))
	require.False(t, h.isSuspect(minUnreachableBackoff), "avoided after the backoff")
	for range 10 {
		h.recordUnreachable(time.Minute)
	}
	require.False(t, h.isSuspect(time.Minute+maxUnreachableBackoff), "backoff exceeds its maximum")
}

func TestSplitSelectsOneServicePerPromptPrefix(t *testing.T) {
	then := &config.Then{Service: "s", Call: &config.CallPolicy{Split: []config.ServiceWeight{{Service: "s", Weight: 90}, {Service: "u", Weight: 10}}}}
	requests := map[string]int{}
	for prefix := uint64(1); prefix <= 10000; prefix++ {
		service := selectService(then, "x", prefix)
		require.Equal(t, service, selectService(then, "y", prefix))
		requests[service]++
	}
	require.InDelta(t, 1000, requests["u"], 150)
}

func TestStreamDataIsSplitAfterCompleteEvents(t *testing.T) {
	data := []byte("id: 1\ndata: a\n\nid: 22\ndata: id: 7\n\nid: 3\nda")
	end := completeEventsLength(data)
	require.Equal(t, "id: 3\nda", string(data[end:]))
	require.Equal(t, "22", lastEventID(data[:end]))
	require.Empty(t, lastEventID([]byte("data: x\n\n")))
	require.Zero(t, completeEventsLength([]byte("id: 1\n")))
	require.Equal(t, len("id: 1\r\n\r\n"), completeEventsLength([]byte("id: 1\r\n\r\nid: 2\r\n")))
}
