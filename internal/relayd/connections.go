package relayd

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/telemetry"
)

const (
	// drainIdleWait is how long a stopping relay waits for requests that callers have
	// sent on idle connections before they could see the close.
	drainIdleWait = 100 * time.Millisecond
	// drainHeaderTimeout bounds the wait for the header of a new connection or of a
	// request that has begun to arrive.
	drainHeaderTimeout = time.Second
)

// callerListener accepts callers' connections and enforces the header and idle
// timeout of the operators' document by read deadlines. A read returns either data
// or the timeout, so a connection from which a request was read stays open, also
// while the relay stops. It is safe for concurrent use.
type callerListener struct {
	net.Listener
	// limits returns the limits in force; a zero timeout means no limit.
	limits func() config.CallerLimits
	log    *telemetry.Logger

	mu    sync.Mutex
	conns map[*callerConn]struct{}
	// drainStart is zero until drain is called.
	drainStart time.Time
	// drained is closed when no connection is left after drainStart.
	drained chan struct{}
}

func newCallerListener(l net.Listener, limits func() config.CallerLimits, log *telemetry.Logger) *callerListener {
	return &callerListener{Listener: l, limits: limits, log: log, conns: map[*callerConn]struct{}{}, drained: make(chan struct{})}
}

// Accept implements net.Listener. After drain it returns http.ErrServerClosed.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.drainStart.IsZero() {
		if err == nil {
			_ = conn.Close() // nothing was read from it
		}
		return nil, http.ErrServerClosed
	}
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, listener: l, phase: phaseHeader, since: time.Now()}
	l.conns[c] = struct{}{}
	return c, nil
}

// drain closes the listener and the idle connections, and waits until the others
// have ended. It returns the error of ctx if ctx ends first. http.Server.Shutdown
// would also close connections from which a header has been read in part, or just
// now.
func (l *callerListener) drain(ctx context.Context) error {
	l.mu.Lock()
	l.drainStart = time.Now()
	conns := slices.Collect(maps.Keys(l.conns))
	l.checkDrainedLocked()
	l.mu.Unlock()
	_ = l.Close() // an error means that it is closed
	for _, c := range conns {
		c.applyDrain()
	}
	select {
	case <-l.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// remove removes a connection that was closed.
func (l *callerListener) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		l.checkDrainedLocked()
	}
}

func (l *callerListener) checkDrainedLocked() {
	if !l.drainStart.IsZero() && len(l.conns) == 0 {
		close(l.drained)
	}
}

// drainingSince returns the time at which drain was called, or zero.
func (l *callerListener) drainingSince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drainStart
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
	millis, drainWait := limits.HeaderTimeoutMillis, drainHeaderTimeout
	if c.phase == phaseIdle {
		millis, drainWait = limits.IdleTimeoutMillis, drainIdleWait
	}
	deadline := c.latest
	if end := c.since.Add(time.Duration(millis) * time.Millisecond); millis > 0 && end.Before(deadline) {
		deadline = end
	}
	if start := c.listener.drainingSince(); !start.IsZero() {
		if start.Before(c.since) {
			start = c.since
		}
		if end := start.Add(drainWait); end.Before(deadline) {
			deadline = end
		}
	}
	return deadline
}

// applyDrain sets the read deadline of a draining listener, unless a request is in
// progress.
func (c *callerConn) applyDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseRequest {
		_ = c.Conn.SetReadDeadline(c.deadlineLocked()) // fails if the connection is closed
	}
}

// Read implements net.Conn. After a timeout, http.Server closes the connection.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.endIdle()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendDeadline() {
			return n, err
		}
	}
}

// endIdle starts the header's phase when the first bytes of a request were read.
func (c *callerConn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.phase, c.since = phaseHeader, time.Now()
		_ = c.Conn.SetReadDeadline(c.deadlineLocked()) // fails if the connection is closed
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
	switch {
	case !c.listener.drainingSince().IsZero():
		reason = "stopping"
	case c.phase == phaseIdle:
		reason = "idle-timeout"
	}
	c.listener.log.Log(EvCallerClosed, "peer", c.RemoteAddr().String(), "reason", reason, "waited_ms", time.Since(c.since).Milliseconds())
	return false
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	err := c.Conn.Close()
	c.listener.remove(c)
	return err
}
