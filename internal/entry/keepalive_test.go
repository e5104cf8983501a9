package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/entry"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/site"
)

// The search for a lost owner takes longer than the interval of keep-alive comments,
// so that it spans several calls of Next. The answer must not hang.
func TestOwnerLostWhileKeepAlivesAreSent(t *testing.T) {
	short := func(o *site.Options) {
		o.Tune = func(c *entry.Config) { c.Gateway.KeepAlive = 300 * time.Millisecond }
	}
	withSite(t, short, func(s *testSite) {
		ingress, owner := s.Entries()[0], s.Entries()[3]
		key := s.keyOwnedBy(owner, "kill-")
		body := chatBody("rewrite the page", 200, true)
		header := map[string]string{"Idempotency-Key": key, "Buckthornpick-Non-Repeatable": "true"}
		answer := s.sendAsync(ingress, chatPath, header, body)
		time.Sleep(700 * time.Millisecond)
		owner.Kill()
		select {
		case got := <-answer:
			require.NoError(t, got.err)
			require.Equal(t, "completed", got.reply.outcome(), "%s", got.reply.tail())
			require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, got.reply.body), 200))
			require.Contains(t, string(got.reply.body), ": keep-alive")
		case <-time.After(2 * time.Minute):
			ingress.Kill()
			<-answer
			t.Fatal("no answer within 2 minutes")
		}
		require.Equal(t, 1, s.runs(key))
	})
}
