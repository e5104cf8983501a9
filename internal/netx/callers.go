package netx

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

	"buckthornpick/internal/membudget"
)

const (
	// drainIdleWait is how long Drain waits for requests that callers have
	// sent on idle connections before they could see the close.
	drainIdleWait = 100 * time.Millisecond
	// drainHeaderTimeout bounds the wait for the header of a new connection or of a
	// request that has begun to arrive.
	drainHeaderTimeout = time.Second
)

// CallerOptions configures a CallerListener. Nil functions are not called.
type CallerOptions struct {
	// Timeouts returns the header and idle timeout in force, which shorten those of
	// http.Server; 0 means no limit.
	Timeouts func() (header, idle time.Duration)
	// OnTimeout is called before a connection is closed that waited in vain.
	OnTimeout func(peer net.Addr, reason TimeoutReason, waited time.Duration)
	// MaxConnections is the maximum number of connections; 0 means no limit. At the limit, a
	// new connection takes the place of one that is of no use (see leastUseful), and
	// waits if there is none.
	MaxConnections int
	// PlacePatience is how long a caller may send one request, or take nothing of a response,
	// before its place may go to another; default 500 ms.
	PlacePatience time.Duration
	// Memory, if not nil, bounds the memory of connections and of the heads of requests.
	Memory *membudget.Budget
}

// TimeoutReason is the reason for closing a connection that waits for a request.
type TimeoutReason string

// Reasons for closing a connection.
const (
	HeaderTimeout TimeoutReason = "header-timeout"
	IdleTimeout   TimeoutReason = "idle-timeout"
	// Draining: Drain was called.
	Draining TimeoutReason = "stopping"
	// Crowded: another caller needed the place of the connection.
	Crowded TimeoutReason = "crowded"
	// WriteTimeout: the caller took nothing of a response for WriteStallTimeout.
	WriteTimeout TimeoutReason = "write-timeout"
	// MemoryShort: there was no room for a head in the memory budget.
	MemoryShort TimeoutReason = "memory-short"
)

// CallerListener accepts connections for an HTTP/1 server and enforces timeouts by
// read deadlines. A read returns either data or the timeout, so a connection from
// which a request was read stays open, also while the server stops. The server's
// idle and header timeouts must be set. It is safe for concurrent use.
type CallerListener struct {
	net.Listener
	options CallerOptions

	mu    sync.Mutex
	conns map[*callerConn]struct{}
	// drainStart is zero until Drain is called.
	drainStart time.Time
	// drained is closed when no connection is left after drainStart.
	drained chan struct{}
	// places is the number of connections that have a place, and left receives when one
	// was given up.
	places int
	left   chan struct{}
}

// NewCallerListener returns a listener on top of l.
func NewCallerListener(l net.Listener, o CallerOptions) *CallerListener {
	if o.PlacePatience == 0 {
		o.PlacePatience = defaultPlacePatience
	}
	return &CallerListener{Listener: l, options: o, conns: map[*callerConn]struct{}{}, drained: make(chan struct{}), left: make(chan struct{}, 1)}
}

// Accept implements net.Listener. After Drain it returns http.ErrServerClosed.
func (l *CallerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.awaitPlace()
	}
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
	now := time.Now()
	c := &callerConn{Conn: conn, listener: l, address: hostOf(conn.RemoteAddr()), phase: phaseHeader, since: now, pace: startPace(now), hasPlace: true}
	c.memory = l.options.Memory.Open(membudget.Connections, c.address, c.abort)
	l.conns[c] = struct{}{}
	l.places++
	return c, nil
}

// hostOf returns the host of an address without its port.
func hostOf(a net.Addr) string {
	if a == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}

// Drain closes the listener and the idle connections, and waits until the others
// have ended. It returns the error of ctx if ctx ends first, and may be called
// again. http.Server.Shutdown would also close connections from which a header has
// been read in part, or just now. The server's responses should ask callers to close
// their connections meanwhile.
func (l *CallerListener) Drain(ctx context.Context) error {
	l.mu.Lock()
	if l.drainStart.IsZero() {
		l.drainStart = time.Now()
		l.checkDrainedLocked()
	}
	conns := slices.Collect(maps.Keys(l.conns))
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
func (l *CallerListener) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		l.checkDrainedLocked()
	}
}

func (l *CallerListener) checkDrainedLocked() {
	if !l.drainStart.IsZero() && len(l.conns) == 0 {
		close(l.drained)
	}
}

// drainingSince returns the time at which Drain was called, or zero.
func (l *CallerListener) drainingSince() time.Time {
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

// callerConn is a connection of a caller. It derives its phase from the states and
// the read deadlines that http.Server sets: a deadline for the first header, then in
// turn none for a request, one after StateIdle and one for the next header.
type callerConn struct {
	net.Conn
	listener *CallerListener
	// address is the caller's, without the port.
	address string
	// memory holds the connection's bytes and those of a head.
	memory *membudget.Holder
	// hasBase is set by the first Read, once the connection's own bytes are reserved.
	hasBase bool

	// mu is not held in calls of memory, which may set deadlines itself.
	mu    sync.Mutex
	phase connPhase
	// since is the start of the phase, and latest the deadline of http.Server for it.
	since, latest time.Time
	// hasRequest is set once the first request is being served.
	hasRequest bool
	// isIdleArmed is set once http.Server has set the deadline of phaseIdle.
	isIdleArmed bool
	// isReadingBody is true in phaseRequest while there is a deadline for the body.
	isReadingBody bool
	// pace is the progress of the caller's bytes.
	pace pace
	// writingSince is the time since which a write waits for the caller, zero if none does.
	writingSince time.Time
	// isCut is set when writes must not go on, isLingering when http.Server has ended the
	// connection and waits for the caller to read the last response, and hasPlace until the connection's place is
	// given to another.
	isCut, isLingering, hasPlace bool
}

// Attach sets the hooks by which the listener follows the connections of s, and bounds the
// memory of the heads of its requests. The handler of s must be set.
func (l *CallerListener) Attach(s *http.Server) {
	s.ConnState, s.ConnContext, s.Handler = l.TrackState, l.connContext, boundHeads(s.Handler)
}

// TrackState is the http.Server.ConnState hook.
func (l *CallerListener) TrackState(conn net.Conn, state http.ConnState) {
	c := callerConnOf(conn)
	if c == nil {
		return
	}
	c.mu.Lock()
	switch state {
	case http.StateActive:
		c.hasRequest = true
	case http.StateIdle:
		c.phase, c.since, c.isIdleArmed = phaseIdle, time.Now(), false
	}
	c.mu.Unlock()
	if state == http.StateIdle {
		c.memory.Return(connectionBytes)
		c.memory.SetYield(c.abort)
	}
}

// SetReadDeadline implements net.Conn. The deadline of a header or of the idle time
// is shortened to the limit in force.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.memory.Keep() // a request was read
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case t.IsZero():
		c.phase = phaseRequest
	case c.phase == phaseRequest && !c.hasRequest && t.After(now): // after a TLS handshake
		c.phase, c.since = phaseHeader, now
	case c.phase == phaseIdle && c.isIdleArmed:
		c.phase, c.since = phaseHeader, now
	case c.phase == phaseIdle:
		c.isIdleArmed = true
	}
	if c.phase == phaseRequest {
		c.isReadingBody = !t.IsZero()
		return c.Conn.SetReadDeadline(t)
	}
	c.latest = t
	return c.Conn.SetReadDeadline(c.deadlineLocked())
}

// deadlineLocked returns the read deadline of the phase by the limits in force.
func (c *callerConn) deadlineLocked() time.Time {
	var header, idle time.Duration
	if c.listener.options.Timeouts != nil {
		header, idle = c.listener.options.Timeouts()
	}
	limit, drainWait := header, drainHeaderTimeout
	if c.phase == phaseIdle {
		limit, drainWait = idle, drainIdleWait
	}
	deadline := c.latest
	if end := c.since.Add(limit); limit > 0 && end.Before(deadline) {
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
	if !c.hasBase {
		if !c.memory.Reserve(context.Background(), connectionBytes, headPatience) {
			return 0, c.refuseHead()
		}
		c.hasBase = true
	}
	for {
		c.startRead()
		n, err := c.Conn.Read(b)
		if c.endRead(n) && !c.reserveHead(headCost(b[:n])) {
			return 0, c.refuseHead()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendDeadline() {
			return n, err
		}
	}
}

// startRead records that the connection waits for bytes of the caller.
func (c *callerConn) startRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pace.wait(time.Now())
}

// endRead records that n bytes were read, and starts the header's phase if they are the
// first of a request. It reports whether they belong to a head.
func (c *callerConn) endRead(n int) (isHead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.pace.add(n, now)
	if n > 0 && c.phase == phaseIdle {
		c.phase, c.since, c.pace = phaseHeader, now, startPace(now)
		_ = c.Conn.SetReadDeadline(c.deadlineLocked()) // fails if the connection is closed
	}
	return n > 0 && c.phase == phaseHeader
}

// extendDeadline reports whether the limit was raised since the deadline that has
// passed was set, and sets the new one. Otherwise it reports the timeout.
func (c *callerConn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseRequest {
		return false
	}
	if deadline := c.deadlineLocked(); deadline.After(time.Now()) {
		return c.Conn.SetReadDeadline(deadline) == nil
	}
	reason := HeaderTimeout
	switch {
	case !c.listener.drainingSince().IsZero():
		reason = Draining
	case c.phase == phaseIdle:
		reason = IdleTimeout
	}
	if c.listener.options.OnTimeout != nil {
		c.listener.options.OnTimeout(c.RemoteAddr(), reason, time.Since(c.since))
	}
	return false
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	err := c.Conn.Close()
	c.memory.Close()
	c.leavePlace()
	c.listener.remove(c)
	return err
}
