package blame

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/telemetry"
)

// site is a set of trackers with a common clock.
type site struct {
	now      time.Duration
	trackers []*Tracker
	crashes  Crash
}

func newSite(n int) *site {
	s := &site{now: time.Hour}
	for range n {
		s.trackers = append(s.trackers, New(func() time.Duration { return s.now }, telemetry.Discard()))
	}
	return s
}

// crash records a new crash at all trackers and lets time pass.
func (s *site) crash(contents ...Content) {
	s.crashes++
	for _, t := range s.trackers {
		for _, c := range contents {
			t.RecordCrash(s.crashes, 0, c.Keys())
		}
	}
	s.now += time.Second
}

var attempts uint64

// newContent returns the content of a request that differs from all others.
func newContent(parts ...string) Content {
	attempts++
	return NewContent(attempts, parts)
}

func isBlocked(t *Tracker, c Content) bool { return t.Judge(&c).IsBlocked }

func TestWholeContentIsBlockedAfterThreeCrashesUnlessAnswered(t *testing.T) {
	s := newSite(1)
	tracker, c := s.trackers[0], newContent()
	require.Len(t, tracker.RecordCrash(1, 0, c.Keys()), 1)
	require.Empty(t, tracker.RecordCrash(1, 0, c.Keys()), "a crash that was reported twice counts once")
	require.Equal(t, 1, tracker.CrashCount(c.Whole))
	require.Equal(t, 1, tracker.MaxCrashCount(&c))
	require.Len(t, tracker.RecordAnswered(&c), 1)
	require.Zero(t, tracker.CrashCount(c.Whole))
	s.crashes = 1
	for range answeredCrashLimit {
		require.False(t, isBlocked(tracker, c))
		s.crash(c)
	}
	require.True(t, isBlocked(tracker, c))
	other := newContent()
	for range crashLimit {
		require.False(t, isBlocked(tracker, other))
		s.crash(other)
	}
	require.True(t, isBlocked(tracker, other))
	s.now += blockedRetention + 1
	require.Zero(t, len(tracker.Records()))
	require.False(t, isBlocked(tracker, other))
}

func TestPartThatDifferentRequestsShareIsBlocked(t *testing.T) {
	s := newSite(1)
	for range crashLimit {
		require.False(t, isBlocked(s.trackers[0], newContent("system", "dead")))
		s.crash(newContent("system", "dead"), newContent("system", "sound"))
		answered := newContent("system", "sound")
		s.trackers[0].RecordAnswered(&answered)
	}
	require.True(t, isBlocked(s.trackers[0], newContent("system", "dead")))
	require.False(t, isBlocked(s.trackers[0], newContent("system", "sound")))
	require.False(t, isBlocked(s.trackers[0], newContent("system", "unknown")))
}

// A part that is in no other requests than some of those with the deadly part is not
// blocked for their crashes.
func TestCrashesAreNotCountedAgainForPartsBesideTheBlockedOne(t *testing.T) {
	s := newSite(1)
	s.crash(newContent("dead", "other"))
	for range 2 {
		s.crash(newContent("dead", "beside"))
	}
	for range 4 {
		s.crash(newContent("dead"), newContent("beside"))
	}
	require.True(t, isBlocked(s.trackers[0], newContent("dead")))
	require.False(t, isBlocked(s.trackers[0], newContent("beside")))
}

func TestAnsweredPartDoesNotExcuseTheOneThatCrashes(t *testing.T) {
	s := newSite(1)
	answered := newContent("system")
	s.trackers[0].RecordAnswered(&answered)
	s.crash(newContent("system"))
	for range answeredCrashLimit {
		s.crash(newContent("system", "dead"))
	}
	require.True(t, isBlocked(s.trackers[0], newContent("dead")))
}

// A part with a higher limit and as many crashes does not keep another one from being
// blocked.
func TestPartIsBlockedBesideAnsweredOnesWithAsManyCrashes(t *testing.T) {
	s := newSite(1)
	for i := range 20 {
		answered := newContent(fmt.Sprint("system", i))
		s.trackers[0].RecordAnswered(&answered)
	}
	for range crashLimit {
		parts := []string{"dead"}
		for i := range 20 {
			parts = append(parts, fmt.Sprint("system", i))
		}
		s.crash(newContent(parts...))
	}
	require.True(t, isBlocked(s.trackers[0], newContent("dead")))
	require.False(t, isBlocked(s.trackers[0], newContent("system1")))
}

// A part of all requests is in more crashes than the deadly one, before it is answered.
func TestPartThatWasAnsweredIsNotBlockedForCrashesOfTheDeadlyOne(t *testing.T) {
	s := newSite(1)
	answered := newContent("system")
	s.trackers[0].RecordAnswered(&answered)
	s.crash(newContent("system"))
	for range 6 {
		s.crash(newContent("system", "dead"))
	}
	require.True(t, isBlocked(s.trackers[0], newContent("dead")))
	require.False(t, isBlocked(s.trackers[0], newContent("system")))
}

// Two parts that ran during the same crashes cannot be told apart, but by a trial.
func TestPartsWithTheSameCrashesAreTriedSoon(t *testing.T) {
	s := newSite(1)
	for range crashLimit {
		s.crash(newContent("dead", "beside"))
	}
	beside := newContent("beside")
	require.True(t, isBlocked(s.trackers[0], beside))
	s.now += soonTrialDelay
	require.True(t, s.trackers[0].Judge(&beside).CanTry)
	_, isPermitted := s.trackers[0].PermitTrial(beside.Parts[0])
	require.True(t, isPermitted)
	s.trackers[0].RecordAnswered(&beside)
	require.False(t, isBlocked(s.trackers[0], beside))
	dead := newContent("dead")
	require.True(t, isBlocked(s.trackers[0], dead))
	require.False(t, s.trackers[0].Judge(&dead).CanTry, "nothing else explains its crashes now")
}

func TestServersThatEndTogetherCountAsOneCrash(t *testing.T) {
	s := newSite(1)
	for range 2 {
		for range 20 {
			s.crash(newContent("system"))
			s.now -= time.Second - 2*time.Millisecond
		}
		s.now += time.Second
	}
	require.False(t, isBlocked(s.trackers[0], newContent("system")))
}

func TestEvidenceIsBoundedWhateverCallersSend(t *testing.T) {
	s := newSite(1)
	tracker := s.trackers[0]
	for range crashLimit - 1 {
		s.crash(newContent("dead"))
	}
	for i := range 200 {
		var ids []string
		for k := range 2000 {
			ids = append(ids, fmt.Sprint("flood", i, "/", k))
		}
		flood := newContent(ids...)
		require.LessOrEqual(t, len(flood.Parts), MaxParts)
		tracker.RecordCrash(Crash(1000+i), 0, flood.Keys())
		answered := newContent(ids...)
		tracker.RecordAnswered(&answered)
		require.LessOrEqual(t, len(tracker.Records()), maxKeys)
	}
	require.LessOrEqual(t, tracker.answered.Len(), maxAnswered)
	s.crash(newContent("dead"))
	require.True(t, isBlocked(tracker, newContent("dead")), "weaker evidence is dropped first")
	for i := range 1000 {
		tracker.RecordCrash(Crash(5000+i), 0, []Key{1})
	}
	require.LessOrEqual(t, tracker.CrashCount(1), maxCrashesPerKey)
}

// merge sends all evidence of one tracker to another.
func (s *site) merge(from, to int) { s.trackers[to].Merge(s.trackers[from].Records()) }

func TestTrackersThatExchangeTheirEvidenceAgree(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newSite(4)
		for range 60 {
			tracker := s.trackers[rng.IntN(4)]
			c := newContent(fmt.Sprint("part", rng.IntN(4)))
			switch rng.IntN(4) {
			case 0:
				tracker.RecordAnswered(&c)
			case 1:
				s.merge(rng.IntN(4), rng.IntN(4))
			default:
				tracker.RecordCrash(Crash(rng.IntN(12)+1), 0, c.Keys())
			}
			s.now += time.Duration(rng.IntN(500)) * time.Millisecond
		}
		for range 2 {
			for from := range 4 {
				for to := range 4 {
					s.merge(from, to)
				}
			}
		}
		for _, tracker := range s.trackers[1:] {
			require.Equal(t, s.trackers[0].Digest(), tracker.Digest(), "seed %d", seed)
		}
	}
}

func TestForgottenEvidenceIsNotRenewedByOthers(t *testing.T) {
	s := newSite(2)
	s.crash(newContent("part"))
	s.now += suspectRetention - 2*time.Second
	records := s.trackers[1].Records()
	require.NotEmpty(t, records)
	s.now += 2 * time.Second
	require.Empty(t, s.trackers[0].Records())
	require.Empty(t, s.trackers[0].Merge(records))
}

func TestOneTrialAtATimeClearsOrKeepsAPart(t *testing.T) {
	s := newSite(1)
	tracker := s.trackers[0]
	dead, innocent := newContent("dead"), newContent("innocent")
	for range crashLimit {
		s.crash(newContent("dead"))
		s.crash(newContent("innocent"))
	}
	require.False(t, tracker.Judge(&dead).CanTry)
	require.Positive(t, tracker.Judge(&dead).RetryAfter)
	_, isPermitted := tracker.PermitTrial(dead.Parts[0])
	require.False(t, isPermitted, "not due")
	s.now += trialDelays[0]
	both := newContent("dead", "innocent")
	require.True(t, tracker.Judge(&dead).CanTry)
	require.False(t, tracker.Judge(&both).CanTry)
	require.GreaterOrEqual(t, tracker.Judge(&both).RetryAfter, minRetryAfter, "due, but not for this request")
	_, isPermitted = tracker.PermitTrial(dead.Parts[0])
	require.True(t, isPermitted)
	_, isPermitted = tracker.PermitTrial(innocent.Parts[0])
	require.False(t, isPermitted, "another trial runs")
	require.False(t, tracker.Judge(&dead).CanTry)
	s.crash(newContent("dead"))
	_, isPermitted = tracker.PermitTrial(innocent.Parts[0])
	require.True(t, isPermitted)
	tracker.RecordAnswered(&innocent)
	require.False(t, isBlocked(tracker, newContent("innocent")))
	for range trialDelays[1:] {
		s.now += trialDelays[len(trialDelays)-1]
		_, isPermitted = tracker.PermitTrial(dead.Parts[0])
		require.True(t, isPermitted)
		s.crash(newContent("dead"))
	}
	s.now += trialDelays[len(trialDelays)-1]
	require.True(t, isBlocked(tracker, dead))
	require.False(t, tracker.Judge(&dead).CanTry, "no further trials")
	require.InDelta(t, blockedRetention-trialDelays[len(trialDelays)-1], tracker.Judge(&dead).RetryAfter, float64(2*time.Second), "until the evidence expires")
}
