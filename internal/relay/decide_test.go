package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
)

func TestNextSend(t *testing.T) {
	base := situation{repetition: config.RunOnce, sends: 1, attempts: 1, left: time.Second}
	for _, tc := range []struct {
		name   string
		change func(*situation)
		want   step
	}{
		{"once, may have run", func(s *situation) { s.fate, s.attempts = fateUnknown, 3 }, stepEnd},
		{"once, failed", func(s *situation) { s.fate, s.attempts = fateFailed, 3 }, stepEnd},
		{"once, the server did not run it", func(s *situation) { s.fate, s.attempts = fateNotRun, 2 }, stepRepeat},
		{"once, all attempts used", func(s *situation) { s.fate = fateNotRun }, stepEnd},
		{"once, never left this process", func(s *situation) { s.fate, s.sends, s.unsent = fateUnsent, 0, 1 }, stepAgain},
		{"too many servers tried in vain", func(s *situation) { s.fate, s.unsent = fateUnsent, maxUnsent }, stepEnd},
		{"repeatable, may have run", func(s *situation) {
			s.fate, s.repetition, s.attempts = fateUnknown, config.Repeatable, 2
		}, stepRepeat},
		{"resumable, failed", func(s *situation) { s.fate, s.repetition, s.attempts = fateFailed, config.Resumable, 2 }, stepRepeat},
		{"no time left", func(s *situation) {
			s.fate, s.repetition, s.attempts, s.left = fateUnknown, config.Repeatable, 2, leastLeft-1
		}, stepEnd},
		{"the deadline has passed", func(s *situation) { s.fate, s.left = fateUnknown, 0 }, stepTimeout},
		{"the deadline has passed before a server was reached", func(s *situation) {
			s.fate, s.sends, s.unsent, s.left = fateUnsent, 0, 1, -time.Microsecond
		}, stepTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := base
			tc.change(&s)
			require.Equal(t, tc.want, next(s))
		})
	}
}

func TestStreamsAreRefusedOnlyIfTheCallerWouldLeave(t *testing.T) {
	quick := &config.CallPolicy{Stream: true, TargetMillis: 400, TargetGapMillis: 200}
	slow := &config.CallPolicy{Stream: true, TargetMillis: 800, TargetGapMillis: 200}
	require.Equal(t, 2*time.Second, callerSilence(quick))
	require.Equal(t, 3200*time.Millisecond, callerSilence(slow))
	require.Less(t, firstTokenWithin(quick, time.Minute), callerSilence(quick))
	require.Equal(t, 100*time.Millisecond, firstTokenWithin(quick, 100*time.Millisecond))
	require.Zero(t, firstTokenWithin(&config.CallPolicy{}, time.Minute))
}

func TestOnlyRepeatableCallsAreTakenFromAHangingServer(t *testing.T) {
	left := time.Second
	require.Equal(t, left/2, tryTimeout(&config.CallPolicy{Repetition: config.Repeatable, Attempts: 2}, 1, left))
	require.Equal(t, left, tryTimeout(&config.CallPolicy{Repetition: config.Repeatable, Attempts: 2}, 2, left), "the last send")
	require.Equal(t, left, tryTimeout(&config.CallPolicy{Repetition: config.RunOnce, Attempts: 2}, 1, left))
	require.Equal(t, left, tryTimeout(&config.CallPolicy{Repetition: config.Resumable, Stream: true, Attempts: 2}, 1, left))
}

// A service that fails one call in seven by itself has no grey server; one that
// fails half of its calls has.
func TestServerThatFailsOftenIsAvoidedForAWhile(t *testing.T) {
	play := func(every int) (suspected bool) {
		h := &health{}
		for i := range 200 {
			now := time.Duration(i) * 20 * time.Millisecond
			h.observe(now, i%every != 0)
			suspected = suspected || h.isSuspect(now)
		}
		return suspected
	}
	require.False(t, play(7))
	require.True(t, play(2))
	h := &health{}
	h.unreachable(0)
	require.True(t, h.isSuspect(unreachableFirst-1))
	require.False(t, h.isSuspect(unreachableFirst), "it is tried again")
	for range 10 {
		h.unreachable(time.Minute)
	}
	require.False(t, h.isSuspect(time.Minute+unreachableMost), "the time is bounded")
}

func TestCrashesStopAContentUntilItIsAnswered(t *testing.T) {
	now := time.Duration(0)
	c := NewCrashTracker(func() time.Duration { return now })
	n, isNews := c.Record(Crash{Fingerprint: 1, RunID: "a"})
	require.Equal(t, 1, n)
	require.True(t, isNews)
	n, isNews = c.Record(Crash{Fingerprint: 1, RunID: "a"})
	require.Equal(t, 1, n, "told twice")
	require.False(t, isNews)
	require.True(t, c.Clear(1), "it only shared the server with the culprit")
	require.Zero(t, c.Count(1))
	for _, run := range []string{"a", "b", "c"} {
		c.Record(Crash{Fingerprint: 2, RunID: run})
	}
	require.Equal(t, crashLimit, c.Count(2))
	require.False(t, c.Clear(2), "resending does not reset it")
	now = crashMemory + 1
	require.Zero(t, c.Count(2))
}

func TestSplitKeepsAPromptAtItsService(t *testing.T) {
	then := &config.Then{Service: "s", Call: &config.CallPolicy{Split: []config.ServiceWeight{{Service: "s", Weight: 90}, {Service: "u", Weight: 10}}}}
	parts := map[string]int{}
	for prefix := uint64(1); prefix <= 10000; prefix++ {
		service := serviceOf(then, "x", prefix)
		require.Equal(t, service, serviceOf(then, "y", prefix))
		parts[service]++
	}
	require.InDelta(t, 1000, parts["u"], 150)
}

func TestEventsAreCutAtTheirEnds(t *testing.T) {
	data := []byte("id: 1\ndata: a\n\nid: 22\ndata: id: 7\n\nid: 3\nda")
	end := eventsEnd(data)
	require.Equal(t, "id: 3\nda", string(data[end:]))
	require.Equal(t, "22", lastEventID(data[:end]))
	require.Empty(t, lastEventID([]byte("data: x\n\n")))
	require.Zero(t, eventsEnd([]byte("id: 1\n")))
}
