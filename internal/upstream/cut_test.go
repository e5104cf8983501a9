package upstream

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/standin/rawserver"
)

// Guards against a response whose head breaks off and that is taken for a whole one: at each
// byte, closed and reset, on new and on kept connections. The request may have run, and is sent once.
func TestHeadThatBreaksOffOverTCPIsNoResponse(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a.1\r\nX-Signature: 0123\r\n", "the body"
	for _, framing := range rawserver.Framings {
		for _, isKept := range []bool{false, true} {
			for _, size := range []int{0, 2 * concurrentWriteBytes} {
				t.Run(fmt.Sprintf("%s, kept %v, %d bytes", framing, isKept, size), func(t *testing.T) {
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
							if r.Header.Get("Sound") != "" {
								c.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound")
								continue
							}
							runs.Add(1)
							runsOnKept.Add(int32(min(n, 1)))
							c.SendCut(wireHead+wireBody, *cut.Load())
							return
						}
					})
					pool := newTCPPool(t)
					for _, at := range rawserver.CutsOf(wireHead) {
						if isKept {
							_, data, err := sendTo(t, pool, address, http.Header{"Sound": {"1"}}, 0)
							require.NoError(t, err)
							require.Equal(t, "sound", string(data))
						}
						cut.Store(&at)
						runs.Store(0)
						runsOnKept.Store(0)
						resp, data, err := sendTo(t, pool, address, http.Header{}, size)
						require.Nil(t, resp, "%v: %q", at, data)
						require.Error(t, err, "%v", at)
						require.True(t, MayHaveBeenSent(err), "%v: %v", at, err)
						require.EqualValues(t, 1, runs.Load(), "%v", at)
						require.Equal(t, isKept, runsOnKept.Load() == 1, "%v", at)
					}
					cut.Store(&rawserver.Cut{Length: len(wireHead + wireBody)})
					resp, data, err := sendTo(t, pool, address, http.Header{}, size)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, resp.Status)
					require.Equal(t, body, string(data))
				})
			}
		}
	}
}
