package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/site"
)

// poison is the content that crashes an engine once crashOnPoison has been called.
const poison = "poison-pill"

// crashCount counts the executions that crashed an engine.
func (s *testSite) crashCount() int {
	n := 0
	for _, sv := range s.Servers() {
		if sv.Engine == nil {
			continue
		}
		for _, e := range sv.Engine.Executions() {
			if e.Crashed {
				n++
			}
		}
	}
	return n
}

// crashOnPoison makes every engine crash when it runs a request that contains poison.
func (s *testSite) crashOnPoison() {
	for _, sv := range s.Servers() {
		if sv.Engine != nil {
			sv.Engine.SetFaults(engine.Faults{CrashMarker: poison})
		}
	}
}

// restartCrashed restarts the engines that have crashed.
func (s *testSite) restartCrashed() {
	for _, sv := range s.Servers() {
		if sv.Engine != nil && sv.Engine.Crashed() {
			require.NoError(s.t, sv.Restart())
		}
	}
}

func TestPoisonRequestIsStoppedAfterTwoCrashesAcrossEntriesAndKeys(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		s.crashOnPoison()
		for i := range 12 {
			e := s.Entries()[i%len(s.Entries())]
			header := map[string]string{"Idempotency-Key": fmt.Sprintf("poison-%d", i)}
			r, err := s.send(e, "POST", chatPath, header, chatBody(poison, 20, false))
			require.NoError(t, err)
			require.NotEqual(t, "completed", r.outcome())
			s.restartCrashed()
			time.Sleep(200 * time.Millisecond)
		}
		require.Equal(t, 2, s.crashCount())
	})
}

func TestNonRepeatablePoisonIsRefusedAfterTwoCrashes(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		s.crashOnPoison()
		outcomes := map[string]int{}
		for i := range 6 {
			header := map[string]string{"Idempotency-Key": fmt.Sprintf("poison-%d", i), "Buckthornpick-Non-Repeatable": "true"}
			r, err := s.send(s.Entries()[i], "POST", chatPath, header, chatBody(poison, 20, false))
			require.NoError(t, err)
			outcomes[r.outcome()]++
			s.restartCrashed()
		}
		require.Equal(t, map[string]int{"unknown": 2, "not-run": 4}, outcomes)
		require.Equal(t, 2, s.crashCount())
	})
}

// Harmless requests that run on the engines which a poison request crashes must still
// be answered; they must not be mistaken for its cause.
func TestRequestsOnCrashedEnginesAreAnswered(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		s.crashOnPoison()
		var answers []<-chan sendResult
		var bodies [][]byte
		for i := range 18 {
			body := chatBody(fmt.Sprintf("honest shop %d", i), 100, false)
			bodies = append(bodies, body)
			answers = append(answers, s.sendAsync(s.entry(i), chatPath, nil, body))
		}
		time.Sleep(300 * time.Millisecond)
		poisoned := s.sendAsync(s.entry(0), chatPath, nil, chatBody(poison, 20, false))
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			s.restartCrashed()
		}
		for i, answer := range answers {
			got := <-answer
			require.NoError(t, got.err)
			require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
			require.NoError(t, engine.VerifyText(engine.PromptOf(bodies[i]), answerText(t, got.reply.body), 100))
		}
		got := <-poisoned
		require.NoError(t, got.err)
		require.Equal(t, "failed", got.reply.outcome())
		require.Equal(t, 2, s.crashCount())
	})
}

func (s *testSite) entry(i int) *site.Entry { return s.Entries()[i%len(s.Entries())] }

// chatWithSystem returns the body of a chat whose first message other chats share.
func chatWithSystem(system, content string) []byte {
	return fmt.Appendf(nil, `{"model":%q,"max_tokens":20,"messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`,
		testModel, system, content)
}

// maxSharedCrashes is the number of crashes after which requests with the message that
// causes them must be refused, and of those that may follow.
const maxSharedCrashes = 5 + 3

// No two of the requests are alike, but all hold the message that crashes engines.
func TestRequestsThatShareAPoisonousMessageAreStoppedAcrossEntries(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		s.crashOnPoison()
		refused := 0
		for i := range 24 {
			r, err := s.send(s.entry(i), "POST", chatPath, nil, chatWithSystem(poison, fmt.Sprint("shop ", i)))
			require.NoError(t, err)
			require.NotEqual(t, "completed", r.outcome())
			if r.outcome() == "not-run" {
				refused++
			}
			s.restartCrashed()
			time.Sleep(200 * time.Millisecond)
			r, err = s.send(s.entry(i+1), "POST", chatPath, nil, chatWithSystem("be honest", fmt.Sprint("shop ", i)))
			require.NoError(t, err)
			require.Equal(t, "completed", r.outcome())
		}
		require.LessOrEqual(t, s.crashCount(), maxSharedCrashes)
		require.Greater(t, refused, 12)
		late, err := s.StartEntry("a")
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		crashes := s.crashCount()
		r, err := s.send(late, "POST", chatPath, nil, chatWithSystem(poison, "late shop"))
		require.NoError(t, err)
		require.Equal(t, "not-run", r.outcome())
		require.Equal(t, crashes, s.crashCount())
	})
}
