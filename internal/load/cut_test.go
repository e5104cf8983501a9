package load

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/gateway"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/rawserver"
)

// Guards against a caller of the tests and measurements that takes an answer whose head breaks off
// for a whole one, and so hides that it was cut off: at each byte, closed and reset.
func TestAnswerWhoseHeadBreaksOffIsCutOff(t *testing.T) {
	stream := "id: 1.1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"
	for name, answer := range map[string]struct {
		class      Class
		head, body string
	}{
		"plain":  {Class{Path: "/services/p/x", Method: http.MethodPost}, "HTTP/1.1 200 OK\r\nX: y", "body"},
		"stream": {Class{Model: "m", Stream: true}, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream", stream},
	} {
		for _, framing := range rawserver.Framings {
			t.Run(fmt.Sprint(name, " ", framing), func(t *testing.T) {
				t.Parallel()
				wireHead, wireBody := framing.Frame(answer.head, answer.body)
				cuts := append(rawserver.CutsOf(wireHead), rawserver.Cut{Length: len(wireHead + wireBody)})
				address := rawserver.Serve(t, func(c *rawserver.Conn) {
					if r, err := c.ReadWholeRequest(); err == nil {
						i, _ := strconv.Atoi(r.Header.Get(gateway.HeaderIdempotencyKey))
						c.SendCut(wireHead+wireBody, cuts[i])
					}
				})
				client := &Client{HTTP: netx.HTTPClient(netx.TCP{}, netx.HTTPOptions{}), MaxAttempts: 1, Balancer: func(int, int) string { return "http://" + address }}
				t.Cleanup(client.HTTP.CloseIdleConnections)
				results := make([]Result, len(cuts))
				var calls sync.WaitGroup
				for i := range cuts {
					calls.Go(func() {
						results[i] = client.Do(t.Context(), Call{Class: &answer.class, Caller: &CallerSpec{}, Body: []byte("{}"), Key: strconv.Itoa(i)})
					})
				}
				calls.Wait()
				for i, result := range results[:len(results)-1] {
					require.Equal(t, 1, result.CutOff, "%v: %+v", cuts[i], result)
					require.True(t, strings.HasPrefix(result.Problem, "connection lost"), "%v: %s", cuts[i], result.Problem)
					require.False(t, result.IsAccepted, "%v", cuts[i])
				}
				whole := results[len(results)-1]
				require.Zero(t, whole.CutOff, "%+v", whole)
				require.True(t, whole.IsAccepted, "%+v", whole)
			})
		}
	}
}
