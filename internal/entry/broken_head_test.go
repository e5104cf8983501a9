package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/entry"
	"buckthornpick/internal/gateway"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/plainservice"
	"buckthornpick/internal/standin/site"
)

// Guards against an answer whose head breaks off and that a caller gets as a whole one, at each
// byte: of plain services, of streams, and of the second attempt of a request. What is not
// sent again ends as unknown.
func TestAnswersWhoseHeadsBreakOffAreNotWhole(t *testing.T) {
	const headBytes = 64
	for attempts := 1; attempts <= 2; attempts++ {
		t.Run(fmt.Sprint(attempts, " attempts"), func(t *testing.T) {
			tune := func(o *site.Options) {
				o.Tune = func(c *entry.Config) { c.Dispatch.MaxAttempts = attempts }
			}
			withSite(t, tune, func(s *testSite) {
				setCut := func(length int) {
					s.setPlainFaults(plainservice.Faults{CutHead: length})
					for _, sv := range s.Servers() {
						if sv.Engine != nil {
							sv.Engine.SetFaults(engine.Faults{CutHead: length})
						}
					}
				}
				for length := 1; length <= headBytes; length++ {
					if testing.Short() && length%8 > 0 {
						continue
					}
					setCut(length)
					for name, send := range map[string]func(header map[string]string) (reply, error){
						"GET": func(h map[string]string) (reply, error) {
							return s.send(s.Entries()[0], "GET", "/services/report/pages/1", h, nil)
						},
						"POST": func(h map[string]string) (reply, error) {
							return s.send(s.Entries()[0], "POST", exportPath, h, []byte("x"))
						},
						"stream": func(h map[string]string) (reply, error) {
							return s.send(s.Entries()[0], "POST", "/v1/chat/completions", h, chatBody(fmt.Sprint("cut ", attempts, length), 5, true))
						},
						"whole": func(h map[string]string) (reply, error) {
							return s.send(s.Entries()[0], "POST", "/v1/chat/completions", h, chatBody(fmt.Sprint("cut whole ", attempts, length), 5, false))
						},
					} {
						r, err := send(map[string]string{gateway.HeaderIdempotencyKey: fmt.Sprint(name, length)})
						require.NoError(t, err)
						require.NotEqual(t, "completed", r.outcome(), "%s after %d bytes: %d %q", name, length, r.status, r.tail())
						require.True(t, r.status != http.StatusOK || name == "stream", "%s after %d bytes: %q", name, length, r.tail())
						if name == "POST" {
							require.Contains(t, []string{"unknown", "not-run"}, r.outcome(), "%s after %d bytes: %q", name, length, r.tail())
						}
					}
				}
				setCut(0)
				time.Sleep(time.Minute) // until no server is avoided
				r, err := s.send(s.Entries()[0], "GET", "/services/report/pages/2", map[string]string{gateway.HeaderIdempotencyKey: "sound"}, nil)
				require.NoError(t, err)
				require.Equal(t, "completed", r.outcome(), "%s", r.tail())
				r, err = s.send(s.Entries()[0], "POST", "/v1/chat/completions", map[string]string{gateway.HeaderIdempotencyKey: "sound chat"}, chatBody("sound", 5, true))
				require.NoError(t, err)
				require.Equal(t, "completed", r.outcome(), "%s", r.tail())
			})
		})
	}
}
