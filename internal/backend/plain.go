package backend

import (
	"context"
	"io"
	"net/http"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/request"
)

// answerHeaders returns the headers of an answer that are forwarded to callers.
// Load reports are only for the entry.
func answerHeaders(h http.Header) http.Header {
	out := netx.EndToEndHeaders(h)
	out.Del(LoadHeader)
	return out
}

// startPlain calls a plain service and reads the whole body of its answer.
func (c *HTTPClient) startPlain(ctx context.Context, t Target, r *request.Request, attempt AttemptID) (Answer, error) {
	const step = "plain.start"
	req, err := c.newRequest(ctx, t, r.Method, r.Path, r.Body)
	if err != nil {
		return nil, c.logFailure(r.ID, &AttemptError{Progress: NotSent, Target: t, Err: err})
	}
	req.Header = netx.EndToEndHeaders(r.Header)
	req.Header.Del("Content-Length")
	setRequestIDs(req, r, attempt)
	resp, hadConn, err := c.do(t, req)
	if err != nil {
		return nil, c.logFailure(r.ID, transportError(t, step, hadConn, err))
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 400 {
		return nil, c.logFailure(r.ID, statusError(t, step, resp))
	}
	body, err := c.readPlainBody(t, step, resp)
	if err != nil {
		return nil, c.logFailure(r.ID, brokenError(t, resp.StatusCode, err))
	}
	load, found := c.readLoad(t, resp.Header)
	return &plainAnswer{
		head: request.Head{Status: resp.StatusCode, Header: answerHeaders(resp.Header)},
		body: body, load: load, hasLoad: found,
	}, nil
}

// readPlainBody reads the whole body. A body that is delimited only by the end of
// its connection may have been truncated, so it is rejected.
func (c *HTTPClient) readPlainBody(t Target, step string, resp *http.Response) ([]byte, error) {
	if resp.Request.Method == http.MethodHead {
		return nil, nil
	}
	if resp.ContentLength < 0 && !isChunked(resp) && !resp.Uncompressed {
		return nil, fault.New(fault.Protocol, step, t.ID, "answer has no declared length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.MaxPlainBody+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Protocol, step, t.ID, "answer broke off after %d bytes", len(body))
	}
	if int64(len(body)) > c.MaxPlainBody {
		return nil, fault.New(fault.Exhausted, step, t.ID, "answer exceeds %d bytes", c.MaxPlainBody)
	}
	return body, nil
}

func isChunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// plainAnswer is a plain service's answer with the whole body as a single event.
type plainAnswer struct {
	head      request.Head
	body      []byte
	load      Load
	hasLoad   bool
	delivered bool
}

// Head implements Answer.
func (a *plainAnswer) Head() request.Head { return a.head }

// Next implements Answer.
func (a *plainAnswer) Next() (request.Event, error) {
	if a.delivered {
		return request.Event{}, io.EOF
	}
	a.delivered = true
	return request.Event{Sequence: 1, Data: a.body}, nil
}

// Usage implements Answer. Plain services report no usage.
func (a *plainAnswer) Usage() Usage { return Usage{} }

// Load implements Answer.
func (a *plainAnswer) Load() (Load, bool) { return a.load, a.hasLoad }

// Close implements Answer.
func (a *plainAnswer) Close() error { return nil }
