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
	// since is the start of the phase, and latest the deadline of http.Server for it.
	since, latest time.Time
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
	c.latest = t
	return c.Conn.SetReadDeadline(c.deadlineLocked())
}

// deadlineLocked returns the read deadline of the phase by the limits in force.
func (c *callerConn) deadlineLocked() time.Time {
	limits := c.listener.limits()
	millis := limits.HeaderTimeoutMillis
	if c.phase == phaseIdle {
		millis = limits.IdleTimeoutMillis
	}
	if end := c.since.Add(time.Duration(millis) * time.Millisecond); millis > 0 && end.Before(c.latest) {
		return end
	}
	return c.latest
}

// Read implements net.Conn. After a timeout, http.Server closes the connection.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendDeadline() {
			return n, err
		}
	}
}

// extendDeadline reports whether the document has raised the limit since the
// deadline that has passed was set, and sets the new one. Otherwise it logs the
// timeout.
func (c *callerConn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseRequest {
		return false
	}
	if deadline := c.deadlineLocked(); deadline.After(time.Now()) {
		return c.Conn.SetReadDeadline(deadline) == nil
	}
	reason := "header-timeout"
	if c.phase == phaseIdle {
		reason = "idle-timeout"
	}
	c.listener.log.Log(EvCallerClosed, "peer", c.RemoteAddr().String(), "reason", reason, "waited_ms", time.Since(c.since).Milliseconds())
	return false
}
