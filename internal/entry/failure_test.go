package entry_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/entry"
	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/site"
)

// keyOwnedBy returns an idempotency key whose request the entry owns.
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

// runs counts the runs that began for the organisation's key.
func (s *testSite) runs(key string) int {
	id := string(request.NewID("delta", key))
	n := 0
	for _, sv := range s.Servers() {
		if sv.Plain != nil {
			n += sv.Plain.Exports()[id]
			continue
		}
		for _, e := range sv.Engine.Executions() {
			if e.Request == id && e.IsRun() {
				n++
			}
		}
	}
	return n
}

type sent struct {
	reply reply
	err   error
}

// sendLater sends in the background.
func (s *testSite) sendLater(e *site.Entry, path string, header map[string]string, body []byte) <-chan sent {
	done := make(chan sent, 1)
	go func() {
		r, err := s.send(e, "POST", path, header, body)
		done <- sent{r, err}
	}()
	return done
}

const chatPath = "/v1/chat/completions"

func TestOwnerKilledMidStreamRepeatableGoesOnWhole(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		ingress, owner := s.Entries()[0], s.Entries()[3]
		key := s.keyOwnedBy(owner, "kill-")
		body := chatBody("check the shop", 200, true)
		answer := s.sendLater(ingress, chatPath, map[string]string{"Idempotency-Key": key}, body)
		time.Sleep(700 * time.Millisecond)
		owner.Kill()
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 200))
	})
}

func TestOwnerKilledNonRepeatableRunsOnce(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		ingress, owner := s.Entries()[0], s.Entries()[3]
		key := s.keyOwnedBy(owner, "kill-")
		body := chatBody("rewrite the page", 200, true)
		header := map[string]string{"Idempotency-Key": key, "Buckthornpick-Non-Repeatable": "true"}
		answer := s.sendLater(ingress, chatPath, header, body)
		time.Sleep(700 * time.Millisecond)
		owner.Kill()
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, 1, s.runs(key))
		require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 200))
	})
}

func TestEngineKilledMidStreamRepeatableContinues(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		body := chatBody("check the shop", 200, true)
		answer := s.sendLater(s.Entries()[0], chatPath, nil, body)
		time.Sleep(700 * time.Millisecond)
		s.busyEngine().Kill()
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 200))
	})
}

// busyEngine returns the engine that runs an attempt.
func (s *testSite) busyEngine() *site.Server {
	for _, sv := range s.Servers() {
		if sv.Engine != nil && len(sv.Engine.Executions()) > 0 {
			return sv
		}
	}
	s.t.Fatal("no engine is busy")
	return nil
}

func TestEngineKilledNonRepeatableIsUnknownAndNeverRunsAgain(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		header := map[string]string{"Idempotency-Key": "rewrite-1", "Buckthornpick-Non-Repeatable": "true"}
		body := chatBody("rewrite the page", 200, false)
		answer := s.sendLater(s.Entries()[0], chatPath, header, body)
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

func TestReclaimedEngineMovesAnswerWhole(t *testing.T) {
	for _, nonRepeatable := range []string{"false", "true"} {
		t.Run("non-repeatable "+nonRepeatable, func(t *testing.T) {
			withSite(t, nil, func(s *testSite) {
				header := map[string]string{"Idempotency-Key": "move", "Buckthornpick-Non-Repeatable": nonRepeatable}
				body := chatBody("check the shop", 600, true)
				answer := s.sendLater(s.Entries()[0], chatPath, header, body)
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

func TestPlannedStopCutsNothingOff(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		e := s.Entries()[2]
		body := chatBody("check the shop", 600, true)
		answer := s.sendLater(e, chatPath, nil, body)
		time.Sleep(300 * time.Millisecond)
		e.Stop()
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, "completed", got.reply.outcome())
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 600))
		<-e.Done()
	})
}

func TestAnswerIsAttachedAtAnotherEntryAfterAPlannedStop(t *testing.T) {
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

func TestReclaimedZoneOfEntriesHandsItsAnswersOver(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		var inZone *site.Entry
		for _, e := range s.Entries() {
			if e.Zone == "c" {
				inZone = e
			}
		}
		body := chatBody("check the shop", 900, true)
		answer := s.sendLater(inZone, chatPath, nil, body)
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

func TestStoreOutageRefusesNonRepeatableAndServesTheRest(t *testing.T) {
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

func TestReclaimedZoneDuringStoreOutageHandsItsAnswersOver(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		owner := s.Entries()[5]
		key := s.keyOwnedBy(owner, "wave-")
		body := chatBody("check the shop", 900, true)
		header := map[string]string{"Idempotency-Key": key}
		answer := s.sendLater(owner, chatPath, header, body)
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

// TestReclaimedEngineMovesItsKVCache compares the tokens computed for a long
// prompt that moves with and without its KV cache.
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
			answer := s.sendLater(s.Entries()[0], chatPath, nil, body)
			time.Sleep(700 * time.Millisecond)
			s.Cloud.Reclaim(s.busyEngine().ID, 4*time.Second)
			got := <-answer
			require.NoError(t, got.err)
			require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 600))
			computed[movesKV] = s.computed()
		})
	}
	require.Less(t, computed[true], 2200, "one prompt of about 2,000 tokens, computed once")
	require.Greater(t, computed[false], 4000, "the same prompt, computed at both engines")
}

// TestEngineThatFallsSilentIsLeft pauses an engine's VM in the middle of an
// answer, so that its connections stay open and carry nothing.
func TestEngineThatFallsSilentIsLeft(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		body := chatBody("check the shop", 200, true)
		answer := s.sendLater(s.Entries()[0], chatPath, nil, body)
		time.Sleep(700 * time.Millisecond)
		s.network.PauseHost(s.busyEngine().ID)
		sentAt := time.Now()
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 200))
		require.Less(t, time.Since(sentAt), 30*time.Second)
		require.Zero(t, s.counter("quarantine_crashes_total"), "a silent server has not crashed")
	})
}

func TestSlowEngineIsWaitedFor(t *testing.T) {
	slow := func(o *site.Options) { o.Servers[0].Zones = []string{"a"} }
	withSite(t, slow, func(s *testSite) {
		for _, sv := range s.Servers() {
			if sv.Engine != nil {
				sv.Engine.SetFaults(engine.Faults{Stall: true})
			}
		}
		header := map[string]string{"Idempotency-Key": "slow", "Buckthornpick-Non-Repeatable": "true"}
		body := chatBody("rewrite the page", 20, true)
		answer := s.sendLater(s.Entries()[0], chatPath, header, body)
		time.Sleep(45 * time.Second)
		s.busyOrWaitingEngine().SetFaults(engine.Faults{})
		got := <-answer
		require.NoError(t, got.err)
		require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
		require.Equal(t, 1, s.runs("slow"))
	})
}

func (s *testSite) busyOrWaitingEngine() *engine.Server {
	for _, sv := range s.Servers() {
		if sv.Engine != nil {
			return sv.Engine
		}
	}
	return nil
}
