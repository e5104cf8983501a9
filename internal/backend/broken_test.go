package backend

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/netx"
	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/rawserver"
	"buckthornpick/internal/telemetry"
)

// newTCPClient returns a client as entries have it, over TCP.
func newTCPClient(t *testing.T) *HTTPClient {
	t.Helper()
	client := netx.HTTPClient(netx.TCP{}, netx.HTTPOptions{})
	t.Cleanup(client.CloseIdleConnections)
	return NewHTTPClient(client, telemetry.Discard())
}

// plainUpload is a request to a plain service with a body of the size.
func plainUpload(size int) *request.Request {
	return &request.Request{ID: request.NewID("o", "k"), Kind: request.Plain, Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), size)}
}

var uploadSizes = []int{100, 64 << 10, 1 << 20, 4 << 20}

// A plain service answers an upload at once and resets the connection in the middle of its
// answer, while the upload is still being written.
func TestAnswerThatIsResetDuringUploadMayHaveRun(t *testing.T) {
	for name, head := range map[string]string{
		"unframed":      "HTTP/1.1 200 OK\r\n\r\n",
		"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n",
		"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n",
		"a failure":     "HTTP/1.1 500 Internal Server Error\r\n\r\n",
	} {
		for _, size := range uploadSizes {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				address := rawserver.Serve(t, func(c *rawserver.Conn) {
					_, _ = c.ReadRequest()
					c.Send(head + "a part")
					time.Sleep(time.Millisecond)
					c.Reset()
				})
				c := newTCPClient(t)
				for range 20 {
					_, err := c.Start(t.Context(), target(address, Plain), plainUpload(size), "r.1", nil)
					var e *AttemptError
					require.ErrorAs(t, err, &e)
					require.Contains(t, []Progress{MayHaveRun, RanAndFailed}, e.Progress, "%v", err)
					require.Empty(t, e.Body, "a part of a failure")
				}
			})
		}
	}
}

// Sound answers that a plain service sends before it has read the upload.
func TestAnswerBeforeTheEndOfAnUploadIsWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nthe body",
		"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nthe body\r\n0\r\n\r\n",
	} {
		for _, size := range uploadSizes {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				address := rawserver.Serve(t, func(c *rawserver.Conn) {
					_, _ = c.ReadRequest()
					c.Send(answer)
					_ = c.CloseWrite()
					time.Sleep(2 * time.Millisecond)
				})
				c := newTCPClient(t)
				for range 20 {
					a, err := c.Start(t.Context(), target(address, Plain), plainUpload(size), "r.1", nil)
					require.NoError(t, err)
					events, err := readAll(a)
					require.NoError(t, err)
					require.Equal(t, "the body", string(events[0].Data))
				}
			})
		}
	}
}

// Answers that are not valid HTTP tell nothing of the request, which is sent once.
func TestInvalidHeadsAreNoAnswers(t *testing.T) {
	for _, head := range slices.Concat(rawserver.InvalidStatuses, rawserver.InvalidFields, rawserver.InvalidLengths) {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			var requests atomic.Int32
			address := rawserver.Serve(t, func(c *rawserver.Conn) {
				if _, err := c.ReadRequest(); err != nil {
					return
				}
				requests.Add(1)
				line, fields, _ := strings.Cut(head, "\r\n")
				c.Send(strings.TrimSuffix(line+"\r\n"+headerNotRun+": true\r\n"+fields, "\r\n") + "\r\n\r\ndata: [DONE]\n\n")
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			})
			c := newTCPClient(t)
			calls := map[string]func() error{
				"plain": func() error {
					_, err := c.Start(t.Context(), target(address, Plain), plainUpload(100), "r.1", nil)
					return err
				},
				"engine": func() error {
					_, err := c.Start(t.Context(), target(address, Engine), chatRequest(true), "r.1", nil)
					return err
				},
				"resume": func() error {
					_, err := c.Resume(t.Context(), target(address, Engine), chatRequest(true), "r.1", 1)
					return err
				},
			}
			for name, call := range calls {
				requests.Store(0)
				requireProgress(t, MayHaveRun, call())
				require.EqualValues(t, 1, requests.Load(), name)
			}
		})
	}
}
