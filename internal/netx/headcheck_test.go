package netx_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/rawserver"
)

// clientOf returns a client, and the number of connections that it has opened to a server that
// sends a response to each request.
func clientOf(t *testing.T, respond func(c *rawserver.Conn)) (client *http.Client, url string, requests *atomic.Int32) {
	requests = &atomic.Int32{}
	address := rawserver.Serve(t, func(c *rawserver.Conn) {
		for {
			if _, err := c.ReadRequest(); err != nil {
				return
			}
			requests.Add(1)
			respond(c)
		}
	})
	client = netx.HTTPClient(netx.TCP{}, netx.HTTPOptions{})
	t.Cleanup(client.CloseIdleConnections)
	return client, "http://" + address, requests
}

func get(client *http.Client, url string) (body string, err error) {
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// A response that is not valid HTTP is an error, also on a kept connection, and the request is
// not sent again.
func TestClientRefusesHeadsThatAreNotValid(t *testing.T) {
	for _, head := range slices.Concat(rawserver.InvalidStatuses, rawserver.InvalidFields, rawserver.InvalidLengths) {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q %v", head, kept), func(t *testing.T) {
				var isInvalid atomic.Bool
				client, url, requests := clientOf(t, func(c *rawserver.Conn) {
					if !isInvalid.Load() {
						c.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
						return
					}
					c.Send(head + "\r\n\r\nbody")
					_ = c.CloseWrite()
				})
				if kept {
					_, err := get(client, url)
					require.NoError(t, err)
				}
				isInvalid.Store(true)
				requests.Store(0)
				body, err := get(client, url)
				require.Error(t, err, "%q", body)
				require.EqualValues(t, 1, requests.Load())
			})
		}
	}
}

func TestClientTakesUnusualHeads(t *testing.T) {
	for _, head := range rawserver.UnusualHeads {
		for _, piece := range []int{1, 5, len(head) + 100} {
			if len(head)/piece > 1000 {
				continue
			}
			t.Run(fmt.Sprintf("%.60q %d", head, piece), func(t *testing.T) {
				client, url, _ := clientOf(t, func(c *rawserver.Conn) {
					for part := range slices.Chunk([]byte(strings.TrimSuffix(head, "\n")+"\r\n\r\nbody"), piece) {
						c.Send(string(part))
						time.Sleep(100 * time.Microsecond)
					}
					_ = c.CloseWrite()
				})
				for range 2 {
					body, err := get(client, url)
					require.NoError(t, err)
					require.Equal(t, "body", body)
				}
			})
		}
	}
}

// The transport uses a connection for the next request before it has returned a response without a
// body. The head of each response is that of its own request.
func TestClientTakesResponsesWithoutBodiesOfConcurrentRequests(t *testing.T) {
	client, url, _ := clientOf(t, func(c *rawserver.Conn) {
		c.Send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	})
	const callers, calls = 16, 200
	errs := make(chan error, callers*calls)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range calls {
				_, err := get(client, url)
				errs <- err
			}
		})
	}
	wg.Wait()
	for range callers * calls {
		require.NoError(t, <-errs)
	}
}
