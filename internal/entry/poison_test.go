package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/site"
)

const poison = "poison-pill"

// crashes counts the executions that crashed an engine.
func (s *testSite) crashes() int {
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

// arm makes every engine crash on the marker and come back after a second.
func (s *testSite) arm() {
	for _, sv := range s.Servers() {
		if sv.Engine != nil {
			sv.Engine.SetFaults(engine.Faults{CrashMarker: poison})
		}
	}
}

// restartCrashed brings crashed engines back.
func (s *testSite) restartCrashed() {
	for _, sv := range s.Servers() {
		if sv.Engine != nil && sv.Engine.Crashed() {
			require.NoError(s.t, sv.Restart())
		}
	}
}

func TestPoisonStopsAfterTwoCrashesThoughResentElsewhereWithOtherKeys(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		s.arm()
		for i := range 12 {
			e := s.Entries()[i%len(s.Entries())]
			header := map[string]string{"Idempotency-Key": fmt.Sprintf("poison-%d", i)}
			r, err := s.send(e, "POST", chatPath, header, chatBody(poison, 20, false))
			require.NoError(t, err)
			require.NotEqual(t, "completed", r.outcome())
			s.restartCrashed()
			time.Sleep(200 * time.Millisecond)
		}
		require.Equal(t, 2, s.crashes())
	})
}

func TestNonRepeatablePoisonIsRefusedAfterTwoCrashes(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		s.arm()
		outcomes := map[string]int{}
		for i := range 6 {
			header := map[string]string{"Idempotency-Key": fmt.Sprintf("poison-%d", i), "Buckthornpick-Non-Repeatable": "true"}
			r, err := s.send(s.Entries()[i], "POST", chatPath, header, chatBody(poison, 20, false))
			require.NoError(t, err)
			outcomes[r.outcome()]++
			s.restartCrashed()
		}
		require.Equal(t, map[string]int{"unknown": 2, "not-run": 4}, outcomes)
		require.Equal(t, 2, s.crashes())
	})
}

// TestRequestsBesidePoisonAreAnswered sends innocent requests that run at the
// engines that crash.
func TestRequestsBesidePoisonAreAnswered(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		s.arm()
		var answers []<-chan sent
		var bodies [][]byte
		for i := range 18 {
			body := chatBody(fmt.Sprintf("honest shop %d", i), 100, false)
			bodies = append(bodies, body)
			answers = append(answers, s.sendLater(s.entry(i), chatPath, nil, body))
		}
		time.Sleep(300 * time.Millisecond)
		poisoned := s.sendLater(s.entry(0), chatPath, nil, chatBody(poison, 20, false))
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
		require.Equal(t, 2, s.crashes())
	})
}

func (s *testSite) entry(i int) *site.Entry { return s.Entries()[i%len(s.Entries())] }
