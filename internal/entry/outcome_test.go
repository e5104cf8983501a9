package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
	"buckthornpick/internal/dispatch"
	"buckthornpick/internal/entry"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/gateway"
	"buckthornpick/internal/member"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/oldersystem"
	"buckthornpick/internal/standin/plainservice"
	"buckthornpick/internal/standin/site"
	"buckthornpick/internal/telemetry"
)

// Regression tests for faults found by the fuzz tests. Most guard against an untrue
// outcome, such as "not-run" for a request that has run.

// An entry without configuration refuses every call. It must not report "not-run" if
// the request may have run before: only a call without a key is certainly new.
func TestUnconfiguredEntryReportsUnknownForAKnownKey(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		header := map[string]string{gateway.HeaderIdempotencyKey: "again"}
		body := chatBody("check the shop", 5, false)
		first, err := s.send(s.Entries()[0], "POST", chatPath, header, body)
		require.NoError(t, err)
		require.Equal(t, "completed", first.outcome())
		attach := "/v1/requests/" + first.header.Get(gateway.HeaderRequestID)
		require.Equal(t, "unknown", s.sendToUnconfigured("POST", chatPath, header, body))
		require.Equal(t, "unknown", s.sendToUnconfigured("GET", attach, nil, nil))
		require.Equal(t, "not-run", s.sendToUnconfigured("POST", chatPath, nil, body))
	})
}

// sendToUnconfigured sends a call to an entry that has no configuration yet, and
// returns the outcome.
func (s *testSite) sendToUnconfigured(method, path string, header map[string]string, body []byte) string {
	fresh, err := s.StartEntry("a")
	require.NoError(s.t, err)
	require.Error(s.t, fresh.Node.Ready())
	r, err := s.send(fresh, method, path, header, body)
	require.NoError(s.t, err)
	require.Equal(s.t, 503, r.status)
	return r.outcome()
}

// The first call may have run although its answer was lost, so a refusal of the resent
// call must not be reported as "not-run".
func TestRefusedResendAfterALostAnswerIsUnknown(t *testing.T) {
	oneAttempt := func(o *site.Options) {
		o.Tune = func(c *entry.Config) { c.Dispatch.MaxAttempts = 1 }
	}
	withSite(t, oneAttempt, func(s *testSite) {
		header := map[string]string{gateway.HeaderIdempotencyKey: "lost"}
		s.setPlainFaults(plainservice.Faults{LoseAnswer: true})
		lost, err := s.send(s.Entries()[0], "GET", "/services/report/pages/1", header, nil)
		require.NoError(t, err)
		require.Equal(t, "unknown", lost.outcome(), "%s", lost.tail())
		s.setPlainFaults(plainservice.Faults{Refuse: true})
		refused, err := s.send(s.Entries()[0], "GET", "/services/report/pages/1", header, nil)
		require.NoError(t, err)
		require.Equal(t, "unknown", refused.outcome(), "%s", refused.tail())
	})
}

func (s *testSite) setPlainFaults(f plainservice.Faults) {
	for _, sv := range s.Servers() {
		if sv.Plain != nil {
			sv.Plain.SetFaults(f)
		}
	}
}

// The successor of a stopping owner has just been killed but is still in the table. The
// owner must hand its answers to the next successor, or a resent call is lost.
func TestAnswerIsHandedToTheNextSuccessorIfTheFirstIsUnreachable(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		entries := s.Entries()
		owner := entries[2]
		key := s.keyOwnedBy(owner, "export-")
		header := map[string]string{gateway.HeaderIdempotencyKey: key}
		first, err := s.send(owner, "POST", exportPath, header, []byte("x"))
		require.NoError(t, err)
		require.Equal(t, "completed", first.outcome())
		successor := s.successorOf(owner, key)
		successor.Kill()
		owner.Stop()
		<-owner.Done()
		var other *site.Entry
		for _, e := range entries {
			if e != owner && e != successor {
				other = e
			}
		}
		again, err := s.send(other, "POST", exportPath, header, []byte("x"))
		require.NoError(t, err)
		require.Equal(t, "completed", again.outcome(), "%s", again.tail())
		require.Equal(t, first.body, again.body)
	})
}

// An entry that is stopping, still in the sender's table, would take the answer with it.
func TestStoppingEntryRefusesTransfers(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		e := s.Entries()[2]
		self, _ := e.Node.Members().Table().Find(e.ID)
		answer := s.sendAsync(e, chatPath, nil, chatBody("check the shop", 300, true))
		time.Sleep(100 * time.Millisecond)
		e.Stop()
		time.Sleep(100 * time.Millisecond)

		sender := peer.New(peer.Node{ID: "sender", Zone: "a", Address: "sender:7070"}, s.network.Host("sender", "a"),
			telemetry.Discard(), metrics.NewRegistry(), peer.Options{Secret: []byte(site.Secret)})
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- sender.Run(ctx) }()
		ended := dispatch.Transfer{Request: &request.Request{ID: request.NewID("delta", "ended"), Organisation: "delta"},
			Number: 1, End: &request.End{Outcome: request.Completed}}
		message := struct {
			Transfers []dispatch.Transfer `msgpack:"t"`
		}{[]dispatch.Transfer{ended}}
		to := peer.Node{ID: self.ID, Zone: self.Zone, Address: self.Address}
		_, err := peer.Call[struct{}](ctx, sender, to, peer.Transfer, message)
		require.True(t, fault.Is(err, fault.Unavailable), "%v", err)
		stop()
		require.NoError(t, <-stopped)
		require.NoError(t, (<-answer).err)
	})
}

// successorOf returns the entry that owns the key's request once owner has left.
func (s *testSite) successorOf(owner *site.Entry, key string) *site.Entry {
	var rest []member.Member
	for _, m := range owner.Node.Members().Table().Members {
		if m.ID != owner.ID {
			rest = append(rest, m)
		}
	}
	m, ok := member.NewTable(1, rest, nil).Owner(request.NewID("delta", key).Partition())
	require.True(s.t, ok)
	successor, ok := s.Entry(m.ID)
	require.True(s.t, ok)
	return successor
}

// Sends a non-repeatable call to a new entry as soon as it is ready. The entry must load
// the claims of its partitions then, and not fail the call because they are missing.
func TestNewEntryLoadsTheClaimsOfItsPartitions(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		header := map[string]string{gateway.HeaderNonRepeatable: "true"}
		for i := range 20 {
			fresh, err := s.StartEntry("a")
			require.NoError(t, err)
			for fresh.Node.Ready() != nil {
				time.Sleep(time.Millisecond)
			}
			header[gateway.HeaderIdempotencyKey] = string(rune('a' + i))
			r, err := s.send(fresh, "POST", exportPath, header, []byte("x"))
			require.NoError(t, err)
			require.Equal(t, "completed", r.outcome(), "%s", r.tail())
			fresh.Kill()
		}
	})
}

// A new owner cannot rule out that the earlier owner, which does not respond, has run
// the request, so it must not report "not-run" when the call is refused.
func TestNewOwnerNeverReportsNotRunWhileTheEarlierOwnerIsUnresponsive(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		const keys = 12
		old := s.Entries()
		call := func(e *site.Entry, key int) string {
			header := map[string]string{gateway.HeaderIdempotencyKey: fmt.Sprint("moved", key)}
			r, err := s.send(e, "GET", fmt.Sprint("/services/report/pages/", key), header, nil)
			require.NoError(t, err)
			return r.outcome()
		}
		for key := range keys {
			require.Equal(t, "completed", call(old[0], key))
		}
		fresh, err := s.StartEntry("a")
		require.NoError(t, err)
		s.eventually("the new entry serves", func() bool { return fresh.Node.Ready() == nil })
		s.setPlainFaults(plainservice.Faults{Refuse: true})
		for _, e := range old {
			s.network.PauseHost(e.ID)
		}
		for key := range keys {
			require.NotEqual(t, "not-run", call(fresh, key), "key %d", key)
		}
	})
}

// The requests that a lost owner ran before a joining entry took their partitions over
// are in no gap, since the lost owner had not owned these partitions last.
func TestNewOwnerNeverReportsNotRunAfterTheEarlierOwnerIsRemoved(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		old := s.Entries()
		before := old[0].Node.Members().Table()
		call := func(e *site.Entry, key string) string {
			header := map[string]string{gateway.HeaderIdempotencyKey: key}
			r, err := s.send(e, "GET", "/services/report/pages/"+key, header, nil)
			require.NoError(t, err)
			return r.outcome()
		}
		for key := range 100 {
			require.Equal(t, "completed", call(old[0], fmt.Sprint("moved", key)))
		}
		fresh, err := s.StartEntry("a")
		require.NoError(t, err)
		s.eventually("the new entry serves", func() bool { return fresh.Node.Ready() == nil })
		key := s.keyOwnedBy(fresh, "moved")
		lost, _ := before.Owner(request.NewID("delta", key).Partition())
		owner, _ := s.Entry(lost.ID)
		owner.Kill()
		s.eventually("the earlier owner is removed", func() bool {
			_, isMember := fresh.Node.Members().Table().Find(owner.ID)
			return !isMember
		})
		s.setPlainFaults(plainservice.Faults{Refuse: true})
		require.Equal(t, "unknown", call(fresh, key))
	})
}

// A caller hangs up while the new owner asks the earlier one for the request. The answer
// must not be replaced by that of a new run.
func TestCallerThatHangsUpDuringTheSearchStartsNoRun(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		old := s.Entries()
		before := old[0].Node.Members().Table()
		fresh, err := s.StartEntry("a")
		require.NoError(t, err)
		s.eventually("the new entry serves", func() bool { return fresh.Node.Ready() == nil })
		key := s.keyOwnedBy(fresh, "moved")
		fresh.Stop()
		<-fresh.Done()
		header := map[string]string{gateway.HeaderIdempotencyKey: key}
		body := chatBody("check the shop", 5, false)
		first, err := s.send(old[0], "POST", chatPath, header, body)
		require.NoError(t, err)
		require.Equal(t, "completed", first.outcome())

		fresh, err = s.StartEntryOn(fresh.ID, "a")
		require.NoError(t, err)
		s.eventually("the new entry serves", func() bool { return fresh.Node.Ready() == nil })
		owner, _ := before.Owner(request.NewID("delta", key).Partition())
		s.network.PauseHost(owner.ID)
		ctx, hangUp := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer hangUp()
		req, err := http.NewRequestWithContext(ctx, "POST", fresh.URL+chatPath, bytes.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set(gateway.HeaderIdempotencyKey, key)
		_, err = s.client.Do(req)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		s.network.ResumeHost(owner.ID)
		time.Sleep(time.Second)
		require.Equal(t, 1, s.runs(key))
	})
}

// A submission may still be on its way to an owner that is partitioned from the network
// when its successor refuses the call, so the outcome must be "unknown".
func TestSuccessorReportsUnknownForARequestSentToALostOwner(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		owner := s.Entries()[0]
		key := s.keyOwnedBy(owner, "sent-")
		other := s.successorOf(owner, key)
		header := map[string]string{gateway.HeaderNonRepeatable: "true", gateway.HeaderIdempotencyKey: key}
		outcome := make(chan string)
		s.setPlainFaults(plainservice.Faults{Refuse: true})
		s.network.PartitionHost(owner.ID)
		go func() {
			r, err := s.send(other, "POST", exportPath, header, []byte("x"))
			require.NoError(t, err)
			outcome <- r.outcome()
		}()
		require.Equal(t, "unknown", <-outcome)
	})
}

// Before an entry has a table of members it serves requests that no other entry can
// have seen. The other entries must find their answers later.
func TestAnswerStartedBeforeTheFirstTableIsFound(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		old := s.Entries()
		early := 0
		for range 12 {
			fresh, err := s.StartEntry("a")
			require.NoError(t, err)
			id, isEarly := s.firstAnswer(fresh)
			s.eventually("the new entry is a member", func() bool { return fresh.Node.Ready() == nil })
			if !isEarly {
				continue
			}
			early++
			for _, e := range old {
				again, err := s.send(e, "GET", "/v1/requests/"+id, nil, nil)
				require.NoError(t, err)
				require.Equal(t, "completed", again.outcome(), "%s", again.tail())
			}
		}
		require.NotZero(t, early, "no entry answered before it had a table")
	})
}

// firstAnswer sends calls to a starting entry until one is answered. It returns the
// request's ID, and whether the entry had no table yet when the call was sent.
func (s *testSite) firstAnswer(fresh *site.Entry) (id string, isEarly bool) {
	for {
		isEarly = len(fresh.Node.Members().Table().Members) == 0
		r, err := s.send(fresh, "POST", chatPath, nil, chatBody("check the shop", 5, false))
		require.NoError(s.t, err)
		if r.outcome() == "completed" {
			return r.header.Get(gateway.HeaderRequestID), isEarly
		}
		time.Sleep(100 * time.Microsecond)
	}
}

func withOlderSystem(o *site.Options) {
	o.Document = testDocument()
	o.Document.OlderSystem = &config.OlderSystem{}
	o.Older = &oldersystem.Settings{Models: []string{testModel}}
}

// A repeatable answer of the older system must continue at another entry when the VM
// of the entry that requested it is reclaimed.
func TestRepeatableAnswerOfTheOlderSystemSurvivesTheEntrysReclaim(t *testing.T) {
	withSite(t, withOlderSystem, func(s *testSite) {
		document := testDocument()
		document.OlderSystem = &config.OlderSystem{Address: "older:8080"}
		document.Rules[0].Then.OlderSystemShare = 1
		_, err := s.Propose(context.Background(), s.Entries()[0], document, 1, "older")
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		e := s.Entries()[0]
		body := chatBody("check the shop", 400, true)
		answer := s.sendAsync(e, chatPath, nil, body)
		time.Sleep(300 * time.Millisecond)
		s.Cloud.Reclaim(e.ID, 5*time.Second)
		got := <-answer
		require.NoError(t, got.err)
		require.Contains(t, string(got.reply.body), "event: reattach")
		path := "/v1/requests/" + got.reply.header.Get(gateway.HeaderRequestID)
		rest, err := s.send(s.Entries()[3], "GET", path, nil, nil)
		require.NoError(t, err)
		require.Equal(t, "completed", rest.outcome(), "%s", rest.tail())
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, rest.body), 400))
	})
}
