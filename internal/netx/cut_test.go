package netx_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/rawserver"
)

// Guards against a response whose head breaks off and that is taken for a whole one: at each
// byte, closed and reset, on new and on kept connections. A request with a body is sent once.
func TestClientRefusesHeadsThatBreakOff(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nGeneration: 2\r\n", `{"revision":1}`
	for _, framing := range rawserver.Framings {
		for _, isKept := range []bool{false, true} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				t.Run(fmt.Sprintf("%s, kept %v, %s", framing, isKept, method), func(t *testing.T) {
					t.Parallel()
					wireHead, wireBody := framing.Frame(head, body)
					var cut atomic.Pointer[rawserver.Cut]
					var runs, runsOnKept atomic.Int32
					address := rawserver.Serve(t, func(c *rawserver.Conn) {
						for n := 0; ; n++ {
							r, err := c.ReadWholeRequest()
							if err != nil {
								return
							}
							if r.URL.Path == "/sound" {
								c.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound")
								continue
							}
							runs.Add(1)
							runsOnKept.Add(int32(min(n, 1)))
							c.SendCut(wireHead+wireBody, *cut.Load())
							return
						}
					})
					client := netx.HTTPClient(netx.TCP{}, netx.HTTPOptions{})
					t.Cleanup(client.CloseIdleConnections)
					send := func(path string) (string, error) {
						var payload io.Reader
						if method == http.MethodPost {
							payload = strings.NewReader("{}")
						}
						req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, payload)
						require.NoError(t, err)
						resp, err := client.Do(req)
						if err != nil {
							return "", err
						}
						defer func() { _ = resp.Body.Close() }()
						data, err := io.ReadAll(resp.Body)
						return string(data), err
					}
					for _, at := range rawserver.CutsOf(wireHead) {
						if isKept {
							data, err := send("/sound")
							require.NoError(t, err)
							require.Equal(t, "sound", data)
						}
						cut.Store(&at)
						runs.Store(0)
						runsOnKept.Store(0)
						data, err := send("/cut")
						require.Error(t, err, "%v: %q", at, data)
						require.Equal(t, isKept, runsOnKept.Load() == 1, "%v", at)
						if method == http.MethodPost {
							require.EqualValues(t, 1, runs.Load(), "%v", at)
						}
					}
					cut.Store(&rawserver.Cut{Length: len(wireHead + wireBody)})
					data, err := send("/whole")
					require.NoError(t, err)
					require.Equal(t, body, data)
				})
			}
		}
	}
}
