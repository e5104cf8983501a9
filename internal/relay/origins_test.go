package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
	"buckthornpick/internal/follow"
)

var originV1, originV2 = StreamOrigin{Service: "s", Version: "1"}, StreamOrigin{Service: "s", Version: "2"}

// originsFixture holds Origins with a manual clock and the rule "r" to service "s".
type originsFixture struct {
	*Origins
	now, viewAge time.Duration
}

func newOriginsFixture() *originsFixture {
	f := &originsFixture{now: time.Hour}
	f.Origins = NewOrigins(func() time.Duration { return f.now }, func() time.Duration { return f.viewAge })
	f.SetDocument(&follow.Document{Document: &config.Document{Rules: []config.Rule{
		{Name: "r", Then: config.Then{Service: "s", Call: &config.CallPolicy{Repetition: config.Resumable}}},
	}}})
	return f
}

// serve sets the versions of the servers of "s".
func (f *originsFixture) serve(versions ...string) []OriginRecord {
	var list []follow.Server
	for _, v := range versions {
		list = append(list, follow.Server{ID: "i-" + v, Service: "s", Version: v})
	}
	return f.SetServers(list)
}

// declare declares versions of "s" for the rule.
func (f *originsFixture) declare(completeAt time.Duration, versions ...string) []OriginRecord {
	d := DeclaredOrigins{InUse: newOriginUses(), ByRule: map[string][]StreamOrigin{}, ValidUntil: f.now + time.Hour, CompleteAt: completeAt}
	d.InUse.Rules[RuleService{"r", "s"}] = true
	for _, v := range versions {
		d.InUse.Origins[StreamOrigin{"s", v}] = true
		d.ByRule["r"] = append(d.ByRule["r"], StreamOrigin{"s", v})
	}
	return f.SetDeclared(d)
}

func TestOneVersionIsConcludedOnlyFromCompleteDeclarationsAndFreshView(t *testing.T) {
	f := newOriginsFixture()
	f.serve("1")
	require.Equal(t, OriginAnswer{Seen: []StreamOrigin{originV1}}, f.Find("r", "x"), "nothing is declared")
	require.Empty(t, f.DeclaredVersions("r", "s"))
	f.declare(f.now+time.Second, "1")
	require.False(t, f.Find("r", "x").IsSettled, "the declarations are not complete yet")
	f.now += time.Second
	require.True(t, f.Find("r", "x").IsSettled)
	f.viewAge = maxOriginViewAge + 1
	require.False(t, f.Find("r", "x").IsSettled, "the view is too old")
	f.viewAge = 0
	f.serve("1", "2")
	f.serve("2")
	f.declare(0, "2")
	f.now += originHistory
	require.Equal(t, OriginAnswer{Seen: []StreamOrigin{originV1, originV2}}, f.Find("r", "x"), "streams of version 1 may be resumed")
	f.now++
	require.Equal(t, OriginAnswer{Seen: []StreamOrigin{originV2}, IsSettled: true}, f.Find("r", "x"))
	require.False(t, f.Find("other", "x").IsSettled)
	require.Equal(t, map[string]bool{"2": true}, f.DeclaredVersions("r", "s"))
	require.Empty(t, f.DeclaredVersions("other", "s"))
	f.now += 2 * time.Hour
	require.Empty(t, f.DeclaredVersions("r", "s"), "the copy of the declarations is too old")
}

func TestRecordsAreSharedOnceARuleHasTwoVersions(t *testing.T) {
	f := newOriginsFixture()
	f.serve("1")
	require.True(t, f.Record("r", OriginRecord{"undeclared", originV1, 0}))
	f.declare(0, "1")
	require.False(t, f.Record("r", OriginRecord{"a", originV1, time.Second}))
	f.MergeRecords([]OriginRecord{{"of another entry", originV1, 0}})
	require.Equal(t, []OriginRecord{{"a", originV1, time.Second}}, f.serve("1", "2"))
	require.Empty(t, f.serve("2"), "each record is shared once")
	require.True(t, f.Record("r", OriginRecord{"b", originV2, 0}))
	require.Equal(t, OriginAnswer{IsKnown: true, Origin: originV1}, f.Find("r", "a"))
	f.now += OriginRetention + 1
	require.False(t, f.Find("r", "a").IsKnown, "expired")
	require.Empty(t, f.queue)
	for range maxOriginRecords + 5 {
		f.now++
		f.Record("r", OriginRecord{f.now.String(), originV2, 0})
	}
	require.Len(t, f.records, maxOriginRecords)
}

// A server may start again in place as another version, of which the view learns late.
func TestVersionOfAWriterIsSettledOnlyOnceItsProcessIsKnown(t *testing.T) {
	const second = time.Second
	list := func(incarnation int64, version string) []follow.Server {
		return []follow.Server{{ID: "i", Incarnation: incarnation, Version: version}}
	}
	restarted := processHistories{} // confirmed at 10 s, and the new process learned of at 11 s
	restarted.update(list(1, "1"), 5*second, 4*second)
	same := processHistories{}
	same.update(list(1, "1"), 5*second, 4*second)
	restarted.update(list(2, "2"), 11*second, 10*second)
	unchanged := processHistories{}
	unchanged.update(list(1, "1"), 5*second, 4*second)
	unchanged.update(list(2, "1"), 11*second, 10*second)
	for name, c := range map[string]struct {
		histories                                  processHistories
		connectedAt, lastEventAt, now, confirmedAt time.Duration
		version                                    string
		verdict                                    writerVerdict
		isOneVersion                               bool
	}{
		"confirmed after the connection was opened":      {same, 10 * second, 10 * second, 10 * second, 10 * second, "1", writerSettled, false},
		"not confirmed yet":                              {same, 10 * second, 11 * second, 11*second - 1, 9 * second, "", writerPending, false},
		"a change would have been learned of":            {same, 10 * second, 11 * second, 11 * second, 9 * second, "1", writerSettled, false},
		"the view is too old for that":                   {same, 10 * second, 20 * second, 20 * second, 9 * second, "", writerPending, false},
		"the view is too old, of a single version":       {same, 10 * second, 20 * second, 20 * second, 9 * second, "1", writerSettled, true},
		"just connected, of a single version":            {same, 10 * second, 10 * second, 10 * second, 9 * second, "", writerPending, true},
		"the old process":                                {restarted, 10 * second, 0, 12 * second, 11 * second, "1", writerSettled, false},
		"the new process, which has gone on":             {restarted, 10*second + 1, 11*second + 1, 12 * second, 11 * second, "2", writerSettled, false},
		"either process":                                 {restarted, 10*second + 1, 11 * second, 12 * second, 11 * second, "", writerUnclear, false},
		"either process, of one version":                 {unchanged, 10*second + 1, 11 * second, 12 * second, 11 * second, "1", writerSettled, false},
		"a process that the view has not had for longer": {processHistories{}, 10 * second, 0, 12 * second, 11 * second, "", writerUnclear, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := &StreamWriter{Server: "i", Incarnation: 1, Version: "1", ConnectedAt: c.connectedAt}
			version, verdict := c.histories.judge(w, c.lastEventAt, registryView{now: c.now, confirmedAt: c.confirmedAt, isOneVersion: c.isOneVersion})
			require.Equal(t, c.verdict, verdict)
			require.Equal(t, c.version, version)
		})
	}
}

// The record of a stream is corrected when the view learns of the process that writes it,
// and has no version while that may be either of two.
func TestOriginIsCorrectedOnceTheWriterIsKnown(t *testing.T) {
	f := newOriginsFixture()
	f.SetServers([]follow.Server{{ID: "i", Service: "s", Incarnation: 1, Version: "1"}})
	f.now, f.viewAge = f.now+time.Second, time.Second
	f.Record("r", OriginRecord{"a", originV1, 0})
	f.RecordWriter("a", &StreamWriter{Server: "i", Incarnation: 1, Version: "1", ConnectedAt: f.now})
	_, isSettled, _ := f.Settle("a", false)
	require.False(t, isSettled)
	f.now += 100 * time.Millisecond
	corrected := f.SetServers([]follow.Server{{ID: "i", Service: "s", Incarnation: 2, Version: "2"}})
	require.Contains(t, corrected, OriginRecord{"a", StreamOrigin{Service: "s"}, 0})
	f.now += 100 * time.Millisecond
	origin, isSettled, corrected := f.Settle("a", true)
	require.True(t, isSettled)
	require.Equal(t, originV2, origin)
	require.Equal(t, []OriginRecord{{"a", originV2, 0}}, corrected)
	require.Equal(t, OriginAnswer{IsKnown: true, Origin: originV2}, f.Find("r", "a"))
}
