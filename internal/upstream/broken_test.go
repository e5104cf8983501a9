package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/rawserver"
)

// maxUpload is the size limit of the users' request bodies in bytes.
const maxUpload = 4 << 20

var uploadSizes = []int{100, concurrentWriteBytes, 64 << 10, 1 << 20, maxUpload}

// upload sends a request with a body of the size to a server over TCP and reads its response.
func upload(t *testing.T, pool *Pool, address string, size int) (*Response, []byte, error) {
	t.Helper()
	resp, err := pool.Do(t.Context(), Target{ID: "s", Address: address}, &Request{
		Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Body: Body{bytes.Repeat([]byte("x"), size/2), bytes.Repeat([]byte("x"), size-size/2)},
	})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp, body, err
}

func newTCPPool(t *testing.T) *Pool {
	pool := NewPool(netx.TCP{}, metrics.NewRegistry())
	t.Cleanup(pool.Close)
	return pool
}

// A server answers a long upload at once, without a length, sends a part of its body and
// resets the connection while the upload is still being written. The failed write may take the
// error of the reset, so that the read sees a regular end.
func TestResetDuringUploadIsNoCompleteResponse(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		for _, size := range uploadSizes {
			t.Run(fmt.Sprint(size, " after ", pause), func(t *testing.T) {
				address := rawserver.Serve(t, func(c *rawserver.Conn) {
					_, _ = c.ReadRequest()
					c.Send("HTTP/1.1 200 OK\r\n\r\na part")
					time.Sleep(pause)
					c.Reset()
				})
				pool := newTCPPool(t)
				for range 40 {
					resp, body, err := upload(t, pool, address, size)
					if resp != nil {
						require.Error(t, err, "%q was taken for the whole response", body)
					}
				}
			})
		}
	}
}

// Sound responses that a server sends before it has read the upload.
func TestResponsesBeforeTheEndOfUploadsAreComplete(t *testing.T) {
	for name, response := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nthe body",
		"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nthe body\r\n0\r\n\r\n",
		"unframed":      "HTTP/1.1 200 OK\r\n\r\nthe body",
	} {
		for _, size := range uploadSizes {
			for _, readsOn := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " ", size, " ", readsOn), func(t *testing.T) {
					address := rawserver.Serve(t, func(c *rawserver.Conn) {
						_, _ = c.ReadRequest()
						c.Send(response)
						_ = c.CloseWrite()
						if readsOn {
							_, _ = io.Copy(io.Discard, c)
						}
						time.Sleep(2 * time.Millisecond)
					})
					pool := newTCPPool(t)
					for range 20 {
						_, body, err := upload(t, pool, address, size)
						require.NoError(t, err)
						require.Equal(t, "the body", string(body))
					}
				})
			}
		}
	}
}
