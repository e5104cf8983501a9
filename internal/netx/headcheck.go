package netx

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
)

// checkedTransport is a transport that returns an error for a response whose head is not valid,
// and closes its connection.
type checkedTransport struct {
	*http.Transport
	// closeIdleOnTimeout implements HTTPOptions.CloseIdleOnTimeout.
	closeIdleOnTimeout bool
}

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[expectedHead]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		if c, ok := got.Conn.(*recordedConn); ok {
			used.Store(c.expectHead())
		}
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil && t.closeIdleOnTimeout && errors.Is(r.Context().Err(), context.DeadlineExceeded) {
		t.CloseIdleConnections()
	}
	if err != nil {
		return nil, err
	}
	if head := used.Load(); head != nil {
		if err := head.check(); err != nil {
			_ = head.conn.Close()
			_ = resp.Body.Close()
			return nil, err
		}
	}
	return resp, nil
}

// recordedConn is a connection that records the head of each response.
type recordedConn struct {
	net.Conn
	mu sync.Mutex
	// head is that of the latest request; nil before the first one.
	head *expectedHead
	// hasWritten is true once a part of the request has been written.
	hasWritten bool
}

// expectedHead is the head of the response to one request. The transport may use the connection for the
// next request before it has returned a response without a body. Its recorder is guarded by the
// connection's mutex.
type expectedHead struct {
	conn     *recordedConn
	recorder HeadRecorder
}

// Write implements net.Conn. Once a part of the request has been written, it hides that the peer has
// closed the connection: net/http would give up a response that the server has sent before it had
// read the whole request. The reads tell whether there is one.
func (c *recordedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasWritten = c.hasWritten || n > 0
	if c.hasWritten && (errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)) {
		return len(p), nil
	}
	return n, err
}

// Read implements net.Conn.
func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil {
		return n, err
	}
	recorder := &c.head.recorder
	for rest := p[:n]; len(rest) > 0 && recorder.isRecording; {
		if rest = recorder.Record(rest); recorder.isInformational() {
			recorder.Start()
		}
	}
	return n, err
}

// expectHead is called before a request is written, and returns the head of its response.
func (c *recordedConn) expectHead() *expectedHead {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = &expectedHead{conn: c}
	c.head.recorder.Start()
	c.hasWritten = false
	return c.head
}

// check returns an error if the head is not valid.
func (h *expectedHead) check() error {
	h.conn.mu.Lock()
	defer h.conn.mu.Unlock()
	return h.recorder.Check()
}
