package etcd_test

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/kv/etcd"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/rawserver"
)

// A write whose answer is not whole may have taken effect, and a read has no result. The parts of
// the bodies are valid JSON.
func TestAnswersThatAreNotWholeAreErrors(t *testing.T) {
	client := netx.HTTPClient(netx.TCP{}, netx.HTTPOptions{})
	defer client.CloseIdleConnections()
	texts := []string{
		"", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{}", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 100\r\n\r\n{}", "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 100\r\n\r\n{}",
		"HTTP/1.1 400 Bad Request\r\nContent-Length: 100\r\n\r\n" + `{"code":5}`,
	}
	for _, head := range slices.Concat(rawserver.InvalidStatuses, rawserver.InvalidFields, rawserver.InvalidLengths) {
		texts = append(texts, head+"\r\n\r\n{}  ")
	}
	for _, text := range texts {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			address := rawserver.Serve(t, func(c *rawserver.Conn) {
				if _, err := c.ReadRequest(); err == nil {
					c.Send(text)
					_ = c.CloseWrite()
					_, _ = io.Copy(io.Discard, c)
				}
			})
			store := etcd.New(etcd.Config{Endpoint: "http://" + address}, client, metrics.NewRegistry())
			ctx := t.Context()
			for name, read := range map[string]func() error{
				"get":       func() error { _, _, err := store.Get(ctx, "k"); return err },
				"list":      func() error { _, err := store.List(ctx, "k"); return err },
				"keepalive": func() error { return store.KeepAlive(ctx, 1) },
			} {
				assert.True(t, fault.Is(read(), fault.Unavailable), "%s: %v", name, read())
			}
			for name, write := range map[string]func() error{
				"txn":    func() error { _, err := store.Txn(ctx, nil, []kv.Op{kv.Put("k", nil)}); return err },
				"grant":  func() error { _, err := store.Grant(ctx, time.Second); return err },
				"revoke": func() error { return store.Revoke(ctx, 1) },
			} {
				assert.True(t, fault.Is(write(), fault.Ambiguous), "%s: %v", name, write())
			}
		})
	}
}
