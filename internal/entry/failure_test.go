package entry_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/entry"
	"buckthornpick/internal/gateway"
	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/site"
)

// keyOwnedBy returns an idempotency key whose request is owned by the entry.
func (s *testSite) keyOwnedBy(e *site.Entry, prefix string) string {
	table := e.Node.Members().Table()
	for i := range 10000 {
		key := prefix + strconv.Itoa(i)
		m, ok := table.Owner(request.NewID("delta", key).Partition())
		if ok && m.ID == e.ID {
			return key
		}
	}
	s.t.Fatal("no key found")
	return ""
}

// runs counts the runs that were started at any backend server for the idempotency
// key.
func (s *testSite) runs(key string) int {
	id := string(request.NewID("delta", key))
	n := 0
	for _, sv := range s.Servers() {
		if sv.Plain != nil {
			n += sv.Plain.Exports()[id]
			continue
		}
		for _, e := range sv.Engine.Executions() {
			if e.Request == id && e.CountsAsRun() {
				n++
			}
		}
	}
	return n
}

// sendResult is the result of a send.
type sendResult struct {
	reply reply
	err   error
}

// sendAsync sends one call in the background and delivers its result.
func (s *testSite) sendAsync(e *site.Entry, path string, header map[string]string, body []byte) <-chan sendResult {
	done := make(chan sendResult, 1)
	go func() {
		r, err := s.send(e, "POST", path, header, body)
		done <- sendResult{r, err}
	}()
	return done
}

const chatPath = "/v1/chat/completions"

func TestRepeatableStreamIsCompleteAfterItsOwnerIsKilled(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		ingress, owner := s.Entries()[0], s.Entries()[3]
		key := s.keyOwnedBy(owner, "kill-")
		body := chatBody("check the shop", 200, true)
		answer := s.sendAsync(ingress, chatPath, map[string]string{"Idempotency-Key": key}, body)
		time.Sleep(700 * time.Millisecond)
		owner.Kill()
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 200))
	})
}

func TestNonRepeatableRequestRunsOnceAfterItsOwnerIsKilled(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		ingress, owner := s.Entries()[0], s.Entries()[3]
		key := s.keyOwnedBy(owner, "kill-")
		body := chatBody("rewrite the page", 200, true)
		header := map[string]string{"Idempotency-Key": key, "Buckthornpick-Non-Repeatable": "true"}
		answer := s.sendAsync(ingress, chatPath, header, body)
		time.Sleep(700 * time.Millisecond)
		owner.Kill()
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, 1, s.runs(key))
		require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 200))
	})
}

func TestRepeatableStreamContinuesAfterItsEngineIsKilled(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		body := chatBody("check the shop", 200, true)
		answer := s.sendAsync(s.Entries()[0], chatPath, nil, body)
		time.Sleep(700 * time.Millisecond)
		s.busyEngine().Kill()
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 200))
	})
}

// busyEngine returns the first engine that has executed an attempt.
func (s *testSite) busyEngine() *site.Server {
	for _, sv := range s.Servers() {
		if sv.Engine != nil && len(sv.Engine.Executions()) > 0 {
			return sv
		}
	}
	s.t.Fatal("no engine is busy")
	return nil
}

func TestNonRepeatableRequestIsUnknownAfterItsEngineIsKilled(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		header := map[string]string{"Idempotency-Key": "rewrite-1", "Buckthornpick-Non-Repeatable": "true"}
		body := chatBody("rewrite the page", 200, false)
		answer := s.sendAsync(s.Entries()[0], chatPath, header, body)
		time.Sleep(700 * time.Millisecond)
		s.busyEngine().Kill()
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, "unknown", got.reply.outcome(), "%s", got.reply.tail())
		for _, e := range s.Entries() {
			again, err := s.send(e, "POST", chatPath, header, body)
			require.NoError(t, err)
			require.Equal(t, "unknown", again.outcome())
		}
		require.Equal(t, 1, s.runs("rewrite-1"))
	})
}

func TestAnswerIsCompleteAfterItsEngineIsReclaimed(t *testing.T) {
	for _, nonRepeatable := range []string{"false", "true"} {
		t.Run("non-repeatable "+nonRepeatable, func(t *testing.T) {
			withSite(t, nil, func(s *testSite) {
				header := map[string]string{"Idempotency-Key": "move", "Buckthornpick-Non-Repeatable": nonRepeatable}
				body := chatBody("check the shop", 600, true)
				answer := s.sendAsync(s.Entries()[0], chatPath, header, body)
				time.Sleep(700 * time.Millisecond)
				s.Cloud.Reclaim(s.busyEngine().ID, 4*time.Second)
				got := <-answer
				require.NoError(t, got.err)
				require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
				require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 600))
				require.Equal(t, 1, s.runs("move"))
			})
		})
	}
}

// The reclaim notice comes while the connection to the engine is being opened.
func TestRequestThatDidNotReachItsReclaimedEngineRunsElsewhere(t *testing.T) {
	engineID := ""
	withSite(t, nil, func(s *testSite) { engineID = s.chosenEngine(s.Entries()[0]) })
	withSite(t, nil, func(s *testSite) {
		e := s.Entries()[0]
		key := s.keyOwnedBy(e, "unsent-")
		header := map[string]string{gateway.HeaderIdempotencyKey: key, gateway.HeaderNonRepeatable: "true"}
		s.network.PartitionHost(engineID)
		answer := s.sendAsync(e, chatPath, header, chatBody("check the shop", 400, false))
		time.Sleep(50 * time.Millisecond)
		s.Cloud.Reclaim(engineID, 8*time.Second)
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
		require.Equal(t, 1, s.runs(key))
	})
}

// chosenEngine returns the ID of the engine to which the entry sends its first call.
func (s *testSite) chosenEngine(e *site.Entry) string {
	_, err := s.send(e, "POST", chatPath, nil, chatBody("check the shop", 5, false))
	require.NoError(s.t, err)
	for _, sv := range s.Servers() {
		if sv.Engine != nil && len(sv.Engine.Executions()) > 0 {
			return sv.ID
		}
	}
	s.t.Fatal("no engine was chosen")
	return ""
}

func TestLeavingEngineGetsNoNewWorkAfterThreeSeconds(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		leaving := s.Servers()[0]
		for _, sv := range s.Servers() {
			if sv.Engine != nil {
				leaving = sv
			}
		}
		noticed := time.Now()
		s.Cloud.Reclaim(leaving.ID, 30*time.Second)
		for i := range 60 {
			e := s.Entries()[i%len(s.Entries())]
			_, err := s.send(e, "POST", chatPath, nil, chatBody("shop "+strconv.Itoa(i), 5, false))
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		for _, x := range leaving.Engine.Executions() {
			require.Less(t, x.StartedAt.Sub(noticed), 3*time.Second)
		}
	})
}

func TestPlannedStopTruncatesNoAnswer(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		e := s.Entries()[2]
		body := chatBody("check the shop", 600, true)
		answer := s.sendAsync(e, chatPath, nil, body)
		time.Sleep(300 * time.Millisecond)
		e.Stop()
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, "completed", got.reply.outcome())
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 600))
		<-e.Done()
	})
}

func TestAnswerCanBeAttachedAtAnotherEntryAfterAPlannedStop(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		e, other := s.Entries()[2], s.Entries()[0]
		body := chatBody("check the shop", 50, true)
		first, err := s.send(e, "POST", chatPath, nil, body)
		require.NoError(t, err)
		e.Stop()
		<-e.Done()
		again, err := s.send(other, "GET", "/v1/requests/"+first.header.Get("Buckthornpick-Request-Id"), nil, nil)
		require.NoError(t, err)
		require.Equal(t, "completed", again.outcome(), "%s", again.tail())
		require.Equal(t, first.body, again.body)
	})
}

func TestReclaimedZoneHandsOverItsAnswers(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		var inZone *site.Entry
		for _, e := range s.Entries() {
			if e.Zone == "c" {
				inZone = e
			}
		}
		body := chatBody("check the shop", 900, true)
		answer := s.sendAsync(inZone, chatPath, nil, body)
		time.Sleep(300 * time.Millisecond)
		s.Cloud.ReclaimZone("c", 5*time.Second)
		got := <-answer
		require.NoError(t, got.err)
		require.Contains(t, string(got.reply.body), "event: reattach")
		id := got.reply.header.Get("Buckthornpick-Request-Id")
		rest, err := s.send(s.Entries()[0], "GET", "/v1/requests/"+id, nil, nil)
		require.NoError(t, err)
		require.Equal(t, "completed", rest.outcome(), "%s", rest.tail())
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, rest.body), 900))
	})
}

func TestStoreOutageRefusesOnlyNonRepeatableRequests(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		s.Store.Faults.SetOutage(true)
		defer s.Store.Faults.SetOutage(false)
		r, err := s.send(s.Entries()[0], "POST", chatPath, nil, chatBody("check the shop", 20, false))
		require.NoError(t, err)
		require.Equal(t, "completed", r.outcome())
		refused, err := s.send(s.Entries()[0], "POST", "/services/report/exports", nil, []byte("x"))
		require.NoError(t, err)
		require.Equal(t, 503, refused.status)
		require.Equal(t, "not-run", refused.outcome(), "%s", refused.tail())
		require.NotEmpty(t, refused.header.Get("Retry-After"))
	})
}

func TestReclaimedZoneHandsOverItsAnswersDuringAStoreOutage(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		owner := s.Entries()[5]
		key := s.keyOwnedBy(owner, "wave-")
		body := chatBody("check the shop", 900, true)
		header := map[string]string{"Idempotency-Key": key}
		answer := s.sendAsync(owner, chatPath, header, body)
		time.Sleep(300 * time.Millisecond)
		s.Store.Faults.SetOutage(true)
		defer s.Store.Faults.SetOutage(false)
		s.Cloud.ReclaimZone("c", 5*time.Second)
		got := <-answer
		require.NoError(t, got.err)
		require.Contains(t, string(got.reply.body), "event: reattach")
		time.Sleep(3 * time.Second)
		for _, e := range s.Entries() {
			rest, err := s.send(e, "POST", chatPath, header, body)
			require.NoError(t, err)
			require.Equal(t, "completed", rest.outcome(), "%s", rest.tail())
			require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, rest.body), 900))
		}
		require.Equal(t, 1, s.runs(key))
	})
}

// Compares the prompt tokens computed when a request with a long prompt moves to
// another engine with and without its KV cache.
func TestReclaimedEngineMovesItsKVCache(t *testing.T) {
	computed := map[bool]int{}
	for _, movesKV := range []bool{false, true} {
		tune := func(o *site.Options) {
			if !movesKV {
				o.Tune = func(c *entry.Config) { c.KV = nil }
			}
		}
		withSite(t, tune, func(s *testSite) {
			body := chatBody(strings.Repeat("shop page ", 1000), 600, true)
			answer := s.sendAsync(s.Entries()[0], chatPath, nil, body)
			time.Sleep(700 * time.Millisecond)
			s.Cloud.Reclaim(s.busyEngine().ID, 4*time.Second)
			got := <-answer
			require.NoError(t, got.err)
			require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 600))
			computed[movesKV] = s.computedPromptTokens()
		})
	}
	require.Less(t, computed[true], 2200, "one prompt of about 2,000 tokens, computed once")
	require.Greater(t, computed[false], 4000, "the same prompt, computed at both engines")
}

// Pauses an engine's VM in the middle of an answer, so that its connections stay open
// but carry no data. The answer must continue at another engine, and the pause must
// not be counted as a crash.
func TestUnresponsiveEngineIsAbandoned(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		body := chatBody("check the shop", 200, true)
		answer := s.sendAsync(s.Entries()[0], chatPath, nil, body)
		time.Sleep(700 * time.Millisecond)
		s.network.PauseHost(s.busyEngine().ID)
		sentAt := time.Now()
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 200))
		require.Less(t, time.Since(sentAt), 30*time.Second)
		require.Zero(t, s.counter("quarantine_crashes_total"), "an unresponsive server has not crashed")
	})
}

// Engines that make no progress for 45 s but stay reachable must keep their request.
func TestSlowEngineIsNotAbandoned(t *testing.T) {
	slow := func(o *site.Options) { o.Servers[0].Zones = []string{"a"} }
	withSite(t, slow, func(s *testSite) {
		for _, sv := range s.Servers() {
			if sv.Engine != nil {
				sv.Engine.SetFaults(engine.Faults{Stall: true})
			}
		}
		header := map[string]string{"Idempotency-Key": "slow", "Buckthornpick-Non-Repeatable": "true"}
		body := chatBody("rewrite the page", 20, true)
		answer := s.sendAsync(s.Entries()[0], chatPath, header, body)
		time.Sleep(45 * time.Second)
		s.firstEngine().SetFaults(engine.Faults{})
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
		require.Equal(t, 1, s.runs("slow"))
	})
}

// firstEngine returns the first engine of the site.
func (s *testSite) firstEngine() *engine.Server {
	for _, sv := range s.Servers() {
		if sv.Engine != nil {
			return sv.Engine
		}
	}
	return nil
}
