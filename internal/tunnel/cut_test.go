package tunnel

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/rawserver"
)

// Guards against an answer whose head breaks off and that is taken for a whole one by way of
// another node: at each byte, closed and reset, on new and on kept connections.
func TestTunnelledHeadsThatBreakOffAreNoAnswers(t *testing.T) {
	const body = "the body"
	for _, framing := range rawserver.Framings {
		for _, isKept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept %v", framing, isKept), func(t *testing.T) {
				t.Parallel()
				wireHead, wireBody := framing.Frame("HTTP/1.1 200 OK\r\nX: y", body)
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
				client := netx.HTTPClient(newTunnels(t, address), netx.HTTPOptions{})
				t.Cleanup(client.CloseIdleConnections)
				send := func(path string) (string, error) {
					resp, err := client.Post("http://"+address+path, "text/plain", strings.NewReader("x"))
					if err != nil {
						return "", err
					}
					defer func() { _ = resp.Body.Close() }()
					data, err := io.ReadAll(resp.Body)
					return string(data), err
				}
				require.Eventually(t, func() bool { _, err := send("/sound"); return err == nil }, 5*time.Second, 20*time.Millisecond)
				for _, at := range rawserver.CutsOf(wireHead) {
					client.CloseIdleConnections()
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
					require.EqualValues(t, 1, runs.Load(), "%v", at)
					require.Equal(t, isKept, runsOnKept.Load() == 1, "%v", at)
				}
				cut.Store(&rawserver.Cut{Length: len(wireHead + wireBody)})
				data, err := send("/whole")
				require.NoError(t, err)
				require.Equal(t, body, data)
			})
		}
	}
}
