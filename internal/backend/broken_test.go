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
		"with a length": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 8\r\n\r\nthe body",
		"in chunks":     "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nthe body\r\n0\r\n\r\n",
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

// A faulty server writes an earlier refusal once more on a kept connection, before the answer to the
// next request. That one may run, and nothing of the connection is taken for the answer to a third.
func TestEarlierRefusalIsNoneOfTheNextRequest(t *testing.T) {
	const refusal, notRun = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n", headerNotRun + ": true\r\n"
	for name, stray := range map[string]string{
		"names the earlier attempt":  refusal + notRun + headerAttempt + ": r.1\r\n\r\n",
		"names none":                 refusal + notRun + "\r\n",
		"429":                        "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n" + notRun + "\r\n",
		"an answer to the first one": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + headerAttempt + ": r.1\r\n\r\nother",
		"a failure of the first one": "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n" + headerAttempt + ": r.1\r\n\r\nother",
	} {
		for _, class := range []Class{Plain, Engine} {
			t.Run(fmt.Sprint(name, " ", class), func(t *testing.T) {
				var connections atomic.Int32
				address := rawserver.Serve(t, func(c *rawserver.Conn) {
					first := connections.Add(1) == 1
					for n := 0; ; n++ {
						r, err := c.ReadRequest()
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						attempt := r.Header.Get(headerAttempt)
						if first && n == 0 {
							c.Send(refusal + notRun + headerAttempt + ": " + attempt + "\r\n\r\n")
							continue
						}
						if first {
							c.Send(stray)
							time.Sleep(20 * time.Millisecond)
						}
						c.Send("HTTP/1.1 201 Created\r\nContent-Length: " + fmt.Sprint(len(attempt)) + "\r\n" + headerAttempt + ": " + attempt + "\r\n\r\n" + attempt)
					}
				})
				c := newTCPClient(t)
				start := func(attempt AttemptID) (Answer, error) {
					if class == Plain {
						return c.Start(t.Context(), target(address, Plain), plainUpload(100), attempt, nil)
					}
					return c.Start(t.Context(), target(address, Engine), chatRequest(true), attempt, nil)
				}
				_, err := start("r.1")
				requireProgress(t, Refused, err)
				_, err = start("r.2")
				requireProgress(t, MayHaveRun, err)
				time.Sleep(50 * time.Millisecond)
				require.EqualValues(t, 1, connections.Load(), "the connection was kept")
				a, err := start("r.3")
				require.EqualValues(t, 2, connections.Load(), "the connection is not used again")
				if class == Engine {
					requireProgress(t, RanAndFailed, err)
					return
				}
				require.NoError(t, err)
				events, err := readAll(a)
				require.NoError(t, err)
				require.Equal(t, "r.3", string(events[0].Data))
			})
		}
	}
}

// A refusal that names no attempt counts on a new connection, on which nothing was sent before.
func TestRefusalWithoutNameCountsOnANewConnection(t *testing.T) {
	address := rawserver.Serve(t, func(c *rawserver.Conn) {
		for {
			r, err := c.ReadRequest()
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			c.Send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" + headerNotRun + ": true\r\n\r\n")
		}
	})
	c := newTCPClient(t)
	for i, want := range []Progress{Refused, MayHaveRun, Refused} { // the second closes the connection
		_, err := c.Start(t.Context(), target(address, Plain), plainUpload(100), AttemptID(fmt.Sprint("r.", i)), nil)
		requireProgress(t, want, err)
	}
}

// An engine answers the resumption of a stream with something that is no rest of it. The attempt gets no event
// of it, and is not complete.
func TestErrorsAreNotSplicedIntoResumedStreams(t *testing.T) {
	const text, chunk = "something is wrong\r\n\r\nhere\n\n", `{"id":"x","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"x"},"finish_reason":"stop"}]}`
	const errorHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror\n\n"
	withLength := func(head, body string) string {
		return fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	for name, answer := range map[string]string{
		"500": withLength("HTTP/1.1 500 Internal Server Error", text), "500 with events": withLength("HTTP/1.1 500 Internal Server Error", "id: 2\ndata: "+chunk+"\n\ndata: [DONE]\n\n"),
		"503": withLength("HTTP/1.1 503 Service Unavailable", text), "404": withLength("HTTP/1.1 404 Not Found", text), "206": withLength("HTTP/1.1 206 Partial Content", "data: [DONE]\n\n"),
		"text": withLength("HTTP/1.1 200 OK", text), "JSON": withLength("HTTP/1.1 200 OK\r\nContent-Type: application/json", "{\"error\":1}\n\n"), "a head": withLength("HTTP/1.1 200 OK", errorHead),
		"a head, unframed": "HTTP/1.1 200 OK\r\n\r\n" + errorHead, "nothing": withLength("HTTP/1.1 200 OK", ""), "nothing, unframed": "HTTP/1.1 200 OK\r\n\r\n", "no head": text,
		"an error as an event":   withLength("HTTP/1.1 200 OK", "id: 2\ndata: {\"error\":{\"message\":\"x\"}}\n\ndata: [DONE]\n\n"),
		"text as an event":       withLength("HTTP/1.1 200 OK", "id: 2\ndata: wrong\n\ndata: [DONE]\n\n"),
		"an earlier event":       withLength("HTTP/1.1 200 OK", "id: 1\ndata: "+chunk+"\n\ndata: [DONE]\n\n"),
		"a later event":          withLength("HTTP/1.1 200 OK", "id: 3\ndata: "+chunk+"\n\ndata: [DONE]\n\n"),
		"an event without ID":    withLength("HTTP/1.1 200 OK", "data: "+chunk+"\n\ndata: [DONE]\n\n"),
		"without its end":        withLength("HTTP/1.1 200 OK", "id: 3\ndata: "+chunk+"\n\n")[:60],
		"an end inside an event": withLength("HTTP/1.1 200 OK", "data: [DONE]"),
	} {
		t.Run(name, func(t *testing.T) {
			address := rawserver.Serve(t, func(c *rawserver.Conn) {
				if _, err := c.ReadRequest(); err == nil {
					c.Send(answer)
					_ = c.CloseWrite()
					_, _ = io.Copy(io.Discard, c)
				}
			})
			a, err := newTCPClient(t).Resume(t.Context(), target(address, Engine), chatRequest(true), "r.1", 1)
			if err == nil {
				var events []request.Event
				events, err = readAll(a)
				require.Empty(t, events)
			}
			var e *AttemptError
			require.ErrorAs(t, err, &e)
			require.NotEqual(t, NotSent, e.Progress)
		})
	}
}
