package backend

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"buckthornpick/internal/fault"
)

// MaxKVBytes is the maximum size of an exported KV cache that is moved.
const MaxKVBytes = 1 << 30

// MoveKV exports the KV cache of an attempt from one engine and imports it into
// another one. The data is streamed through this process and not stored. MoveKV
// returns the number of bytes moved. A failure only costs time: without the cache
// the target engine computes the prompt again.
func (c *HTTPClient) MoveKV(ctx context.Context, from Target, attempt AttemptID, to Target) (int64, error) {
	const step = "engine.move-kv"
	exportReq, err := c.newRequest(ctx, from, http.MethodGet, "/v1/kv/"+url.PathEscape(string(attempt)), nil)
	if err != nil {
		return 0, err
	}
	exportResp, _, err := c.do(from, exportReq)
	if err != nil {
		return 0, fault.Wrap(err, fault.Unavailable, step, from.ID, "export of %s", attempt)
	}
	defer exportResp.Body.Close()
	if exportResp.StatusCode != http.StatusOK || exportResp.ContentLength > MaxKVBytes {
		return 0, fault.New(fault.Unavailable, step, from.ID, "export of %s: status %d, %d bytes",
			attempt, exportResp.StatusCode, exportResp.ContentLength)
	}
	blob := &countingReader{r: io.LimitReader(exportResp.Body, MaxKVBytes)}
	if err := c.importKV(ctx, to, blob, exportResp.ContentLength); err != nil {
		return blob.n, err
	}
	return blob.n, nil
}

func (c *HTTPClient) importKV(ctx context.Context, to Target, blob io.Reader, length int64) error {
	const step = "engine.import-kv"
	req, err := c.newRequest(ctx, to, http.MethodPost, "/v1/kv", nil)
	if err != nil {
		return err
	}
	req.Body = nonRewindableBody{blob}
	req.ContentLength = length
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, _, err := c.do(to, req)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, step, to.ID, "import")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fault.New(fault.Unavailable, step, to.ID, "import: status %d", resp.StatusCode)
	}
	return nil
}

// countingReader counts the bytes read through it.
type countingReader struct {
	r io.Reader
	n int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}
