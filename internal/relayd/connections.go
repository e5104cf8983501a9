package relayd

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/telemetry"
)

// callerListener accepts callers' connections and enforces the header and idle
// timeout of the operators' document by read deadlines. A read returns either data
// or the timeout, so a connection from which a request was read stays open.
type callerListener struct {
	net.Listener
	// limits returns the limits in force; a zero timeout means no limit.
	limits func() config.CallerLimits
	log    *telemetry.Logger
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, listener: l, phase: phaseHeader, since: time.Now()}, nil
}

// connPhase is what a connection is waiting for.
type connPhase int

const (
	// phaseHeader: the header of the first or next request.
	phaseHeader connPhase = iota
	// phaseRequest: the body or the response of a request.
	phaseRequest
	// phaseIdle: the first bytes of the next request.
	phaseIdle
)

// callerConn is a connection of a caller. It derives its phase from the read
// deadlines that http.Server sets: one in the future for the first header, then
// in turn none during a request, one for the idle time and one for the next header.
type callerConn struct {
	net.Conn
	listener *callerListener

	mu    sync.Mutex
	phase connPhase
	// since is the start of the phase.
	since time.Time
}

// SetReadDeadline implements net.Conn. A future deadline is shortened to the limit
// in force.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case t.IsZero():
		c.phase = phaseRequest
		return c.Conn.SetReadDeadline(t)
	case !t.After(now): // http.Server ends its background read
		return c.Conn.SetReadDeadline(t)
	case c.phase == phaseRequest:
		c.phase, c.since = phaseIdle, now
	case c.phase == phaseIdle:
		c.phase, c.since = phaseHeader, now
	}
	if limit := c.limitLocked(); limit > 0 && c.since.Add(limit).Before(t) {
		t = c.since.Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}

// limitLocked returns the limit in force for the phase; 0 is no limit.
func (c *callerConn) limitLocked() time.Duration {
	limits := c.listener.limits()
	millis := limits.HeaderTimeoutMillis
	if c.phase == phaseIdle {
		millis = limits.IdleTimeoutMillis
	}
	return time.Duration(millis) * time.Millisecond
}

// Read implements net.Conn. It logs a timeout, after which http.Server closes the
// connection.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.logTimeout()
	}
	return n, err
}

func (c *callerConn) logTimeout() {
	c.mu.Lock()
	phase, waited := c.phase, time.Since(c.since)
	c.mu.Unlock()
	if phase == phaseRequest {
		return
	}
	reason := "header-timeout"
	if phase == phaseIdle {
		reason = "idle-timeout"
	}
	c.listener.log.Log(EvCallerClosed, "peer", c.RemoteAddr().String(), "reason", reason, "waited_ms", waited.Milliseconds())
}
