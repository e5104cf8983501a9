package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
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
	return sendTo(t, pool, address, http.Header{}, size)
}

// sendTo is upload with fields of the request's head.
func sendTo(t *testing.T, pool *Pool, address string, header http.Header, size int) (*Response, []byte, error) {
	t.Helper()
	resp, err := pool.Do(t.Context(), Target{ID: "s", Address: address}, &Request{
		Method: http.MethodPost, URI: "/x", Host: "h", Header: header, Body: Body{bytes.Repeat([]byte("x"), size/2), bytes.Repeat([]byte("x"), size-size/2)},
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
		"with a length": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 8\r\n\r\nthe body",
		"in chunks":     "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nthe body\r\n0\r\n\r\n",
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

func TestHeadsThatAreNotValidAreNoResponses(t *testing.T) {
	for _, head := range slices.Concat(rawserver.InvalidStatuses, rawserver.InvalidFields, rawserver.InvalidLengths) {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			withTestServer(t, func(c net.Conn) {
				readRequest(c)
				_, _ = io.WriteString(c, head+"\r\n\r\nbody")
				_ = c.Close()
			}, func(s *testServer) {
				resp, err := s.send(s.t.Context(), "")
				if assert.Error(t, err) {
					assert.True(t, MayHaveBeenSent(err), "%v", err)
					return
				}
				_ = resp.Body.Close()
			})
		})
	}
}

// A head that breaks off, at any byte, is no response.
func TestHeadThatBreaksOffIsNoResponse(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n"
	for length := range len(response) {
		withTestServer(t, func(c net.Conn) {
			readRequest(c)
			_, _ = io.WriteString(c, response[:length])
			_ = c.Close()
		}, func(s *testServer) {
			_, err := s.send(s.t.Context(), "")
			assert.Error(t, err, response[:length])
			assert.True(t, MayHaveBeenSent(err))
		})
	}
}

func TestUnusualHeadsAreResponses(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\r\nId: foreign\r\nContent-Length: 5\r\n\r\nother"
	for _, head := range append(slices.Clip(rawserver.UnusualHeads), foreign+"HTTP/1.1 200 OK\r\nContent-Length: 4") {
		t.Run(fmt.Sprintf("%.80q", head), func(t *testing.T) {
			for _, piece := range []int{1, 7, len(head)} {
				if len(head)/piece > 1000 {
					continue
				}
				withTestServer(t, func(c net.Conn) {
					readRequest(c)
					for part := range slices.Chunk([]byte(strings.TrimSuffix(head, "\n")+"\r\n\r\nbody"), piece) {
						_, _ = c.Write(part)
						time.Sleep(time.Millisecond)
					}
					_ = c.Close()
				}, func(s *testServer) {
					resp, err := s.send(s.t.Context(), "")
					if assert.NoError(t, err) {
						body, err := io.ReadAll(resp.Body)
						assert.NoError(t, err)
						assert.Equal(t, "body", string(body))
					}
				})
			}
		})
	}
}
