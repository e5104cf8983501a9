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
	var used atomic.Pointer[recordedConn]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		if c, ok := got.Conn.(*recordedConn); ok {
			c.expectHead()
			used.Store(c)
		}
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil && t.closeIdleOnTimeout && errors.Is(r.Context().Err(), context.DeadlineExceeded) {
		t.CloseIdleConnections()
	}
	if err != nil {
		return nil, err
	}
	if c := used.Load(); c != nil {
		if err := c.checkHead(); err != nil {
			_ = c.Close()
			_ = resp.Body.Close()
			return nil, err
		}
	}
	return resp, nil
}

// recordedConn is a connection that records the head of each response.
type recordedConn struct {
	net.Conn
	mu   sync.Mutex
	head HeadRecorder
	// hasWritten is true once a part of the request has been written.
	hasWritten bool
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
	for rest := p[:n]; len(rest) > 0 && c.head.isRecording; {
		if rest = c.head.Record(rest); c.head.isInformational() {
			c.head.Start()
		}
	}
	return n, err
}

// expectHead is called before a request is written.
func (c *recordedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Start()
	c.hasWritten = false
}

func (c *recordedConn) checkHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Check()
}
