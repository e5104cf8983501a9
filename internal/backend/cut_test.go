package backend

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/rawserver"
)

// Guards against an answer whose head breaks off and that is taken for a whole one, or for one
// that did not run: at each byte, closed and reset, on new and on kept connections. Each
// attempt is sent once.
func TestAnswerWhoseHeadBreaksOffMayHaveRun(t *testing.T) {
	const chunk = `data: {"id":"x","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"x"},"finish_reason":"stop"}]}` + "\n\n"
	const stream = "id: 1\n" + chunk + "data: [DONE]\n\n"
	plain := func(method string) *request.Request {
		r := plainUpload(100)
		if r.Method = method; method == http.MethodGet {
			r.Body = nil
		}
		r.Header = http.Header{"Idempotency-Key": {"k"}} // which net/http takes as a leave to send again
		return r
	}
	type call func(c *HTTPClient, address string, attempt AttemptID) (Answer, error)
	start := func(class Class, r *request.Request) call {
		return func(c *HTTPClient, address string, attempt AttemptID) (Answer, error) {
			return c.Start(t.Context(), target(address, class), r, attempt, nil)
		}
	}
	for name, kind := range map[string]struct {
		call call
		body string
	}{
		"plain GET":  {start(Plain, plain(http.MethodGet)), "body"},
		"plain POST": {start(Plain, plain(http.MethodPost)), "body"},
		"stream":     {start(Engine, chatRequest(true)), stream},
		"older":      {start(Older, chatRequest(true)), stream},
		"whole":      {start(Engine, chatRequest(false)), stream},
		"resumed": {func(c *HTTPClient, address string, attempt AttemptID) (Answer, error) {
			return c.Resume(t.Context(), target(address, Engine), chatRequest(true), attempt, 0)
		}, stream},
	} {
		for _, framing := range rawserver.Framings {
			for _, isKept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, kept %v", name, framing, isKept), func(t *testing.T) {
					t.Parallel()
					wireHead, wireBody := framing.Frame("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX: y", kind.body)
					var cut atomic.Pointer[rawserver.Cut]
					var runs, runsOnKept atomic.Int32
					address := rawserver.Serve(t, func(c *rawserver.Conn) {
						for n := 0; ; n++ {
							if _, err := c.ReadWholeRequest(); err != nil {
								return
							}
							if cut.Load() == nil {
								c.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
								continue
							}
							runs.Add(1)
							runsOnKept.Add(int32(min(n, 1)))
							c.SendCut(wireHead+wireBody, *cut.Load())
							return
						}
					})
					client := newTCPClient(t)
					for i, at := range rawserver.CutsOf(wireHead) {
						cut.Store(nil)
						if isKept {
							a, err := client.Start(t.Context(), target(address, Plain), plainUpload(1), "sound", nil)
							require.NoError(t, err)
							_, err = readAll(a)
							require.NoError(t, err)
						}
						cut.Store(&at)
						runs.Store(0)
						runsOnKept.Store(0)
						a, err := kind.call(client, address, AttemptID(fmt.Sprint("r.", i)))
						if err == nil {
							events, readErr := readAll(a)
							require.Error(t, readErr, "%v: %v", at, events)
							require.Empty(t, events, "%v", at)
							err = readErr
						}
						requireProgress(t, MayHaveRun, err)
						require.EqualValues(t, 1, runs.Load(), "%v", at)
						require.Equal(t, isKept, runsOnKept.Load() == 1, "%v", at)
					}
					cut.Store(&rawserver.Cut{Length: len(wireHead + wireBody)})
					a, err := kind.call(client, address, "r.sound")
					if framing == rawserver.Unframed && wireBody == "body" {
						requireProgress(t, MayHaveRun, err) // may have lost its end
						return
					}
					require.NoError(t, err)
					events, err := readAll(a)
					require.NoError(t, err)
					require.NotEmpty(t, events)
				})
			}
		}
	}
}
