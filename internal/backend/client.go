package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/request"
	"buckthornpick/internal/telemetry"
)

// Request headers of the protocol with backend servers.
const (
	headerAttempt   = "X-Attempt-Id"
	headerRequest   = "X-Request-Id"
	headerPriority  = "X-Priority"
	headerLastEvent = "Last-Event-ID"
)

// DefaultMaxPlainBody is the default limit on the body of a plain service's
// answer, in bytes.
const DefaultMaxPlainBody = 8 << 20

var errLoadOutOfRange = errors.New("load report has values out of range")

// HTTPClient calls backend servers over HTTP. It is safe for concurrent use.
type HTTPClient struct {
	http *http.Client
	log  *telemetry.Logger
	// MaxPlainBody limits the body of a plain service's answer, in bytes. The
	// default is DefaultMaxPlainBody. It must be set before the first call.
	MaxPlainBody int64
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client that uses a copy of httpClient. The copy does
// not follow redirects, because that would send a request twice.
func NewHTTPClient(httpClient *http.Client, log *telemetry.Logger) *HTTPClient {
	c := *httpClient
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &HTTPClient{http: &c, log: log, MaxPlainBody: DefaultMaxPlainBody}
}

// Start implements Client.
func (c *HTTPClient) Start(ctx context.Context, t Target, r *request.Request, attempt AttemptID, cont *Continuation) (Answer, error) {
	if r.Kind == request.Plain {
		if cont != nil {
			return nil, c.notSent(t, r, "plain.start", "a plain answer cannot be continued")
		}
		return c.startPlain(ctx, t, r, attempt)
	}
	if t.Class == Plain {
		return nil, c.notSent(t, r, "engine.start", "a plain service cannot run a model")
	}
	if t.Class == Older && cont != nil {
		return nil, c.notSent(t, r, "engine.start", "the older system cannot continue an answer")
	}
	return c.startEngine(ctx, t, r, attempt, cont)
}

// Resume implements Client. Only engines can resume; for other classes the error
// is MayHaveRun, because the outcome of the attempt stays unknown.
func (c *HTTPClient) Resume(ctx context.Context, t Target, r *request.Request, attempt AttemptID, after int) (Answer, error) {
	if t.Class != Engine || r.Kind == request.Plain {
		err := fault.New(fault.Invalid, "engine.resume", t.ID, "the server cannot resume")
		return nil, c.logFailure(r.ID, &AttemptError{Progress: MayHaveRun, Target: t, Err: err})
	}
	return c.resumeEngine(ctx, t, r, attempt, after)
}

// Cancel implements Client. Only engines can cancel; for other classes it does
// nothing.
func (c *HTTPClient) Cancel(ctx context.Context, t Target, attempt AttemptID) error {
	if t.Class != Engine {
		return nil
	}
	req, err := c.newRequest(ctx, t, http.MethodDelete, streamPath(attempt), nil)
	if err != nil {
		return err
	}
	resp, _, err := c.do(t, req)
	if err != nil {
		return fault.Wrap(err, fault.Ambiguous, "engine.cancel", t.ID, "attempt %s", attempt)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 && resp.StatusCode != http.StatusNotFound {
		return fault.New(fault.Ambiguous, "engine.cancel", t.ID, "attempt %s: status %d", attempt, resp.StatusCode)
	}
	return nil
}

func streamPath(attempt AttemptID) string { return "/v1/streams/" + url.PathEscape(string(attempt)) }

// nonRewindableBody is a request body that net/http cannot rewind. If a reused
// connection breaks, the transport resends a request only if it has no body or
// one that can be rewound, so a request with this body is sent at most once.
type nonRewindableBody struct{ r io.Reader }

func (b nonRewindableBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b nonRewindableBody) Close() error               { return nil }

func (c *HTTPClient) newRequest(ctx context.Context, t Target, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.Address+path, nonRewindableBody{bytes.NewReader(body)})
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "backend.request", t.ID, "%s %s", method, path)
	}
	req.ContentLength = int64(len(body))
	return req, nil
}

// do sends req at most once. hadConn reports whether the transport had obtained
// a connection for the request, so that some of it may have been written. A response to an
// earlier request on the connection is an error.
func (c *HTTPClient) do(t Target, req *http.Request) (resp *http.Response, hadConn bool, err error) {
	var got atomic.Pointer[httptrace.GotConnInfo]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { got.Store(&info) }}
	resp, err = c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	info := got.Load()
	if err == nil && info != nil && !isResponseTo(t, req, resp, info.Reused) {
		_ = info.Conn.Close() // the response to this request may follow
		_ = resp.Body.Close()
		return nil, true, errEarlierResponse
	}
	return resp, info != nil, err
}

// errEarlierResponse means that a response may be one to an earlier request, which the server has
// written once more.
var errEarlierResponse = errors.New("the response may be one to an earlier request")

// isResponseTo reports whether resp is the response to req. Responses of engines and of plain
// services may name the attempt. A refusal that names none counts only on a connection without earlier
// requests.
func isResponseTo(t Target, req *http.Request, resp *http.Response, isReused bool) bool {
	attempt, named := req.Header.Get(headerAttempt), resp.Header.Get(headerAttempt)
	if attempt != "" && named != "" && t.Class != Older {
		return named == attempt
	}
	return !isReused || !isRefusal(resp)
}

// logFailure logs e and returns it.
func (c *HTTPClient) logFailure(id request.ID, e *AttemptError) error {
	c.log.Log(EvAttemptFailed, "request", id, "server", e.Target.ID, "reached", e.Progress.String(),
		"status", e.Status, "error", e.Err)
	return e
}

// notSent logs and returns the error for a request that is rejected before it is
// sent.
func (c *HTTPClient) notSent(t Target, r *request.Request, step, reason string) error {
	return c.logFailure(r.ID, &AttemptError{Progress: NotSent, Target: t, Err: fault.New(fault.Invalid, step, t.ID, "%s", reason)})
}

// readLoad returns the load report in the headers of an answer. It logs and
// ignores an unreadable report.
func (c *HTTPClient) readLoad(t Target, h http.Header) (Load, bool) {
	load, found, err := ParseLoad(h)
	if err != nil {
		c.log.Log(EvLoadUnreadable, "server", t.ID, "error", err)
	}
	return load, found
}

func setRequestIDs(req *http.Request, r *request.Request, attempt AttemptID) {
	req.Header.Set(headerAttempt, string(attempt))
	req.Header.Set(headerRequest, string(r.ID))
}

func setLastEventID(req *http.Request, after int) {
	req.Header.Set(headerLastEvent, strconv.Itoa(after))
}
