package netx

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/membudget"
	"buckthornpick/internal/telemetry"
)

const (
	// connectionBytes is the memory of a caller's connection: buffers, goroutine, state.
	connectionBytes = 16 << 10
	// fieldBytes is the memory that a line of a head takes in maps of headers and their
	// copies, whatever its length.
	fieldBytes = 512
	// elementBytes is the memory that an element of a list in a line takes, such as the
	// name of a trailer in http.Request.Trailer.
	elementBytes = 128
	// headPatience is how long a connection waits for room for a small head.
	headPatience         = time.Second
	defaultPlacePatience = 500 * time.Millisecond
	// placeCheckInterval is the time between two looks for a place.
	placeCheckInterval = 20 * time.Millisecond
	// writePieceBytes is the largest number of bytes that are written at once.
	writePieceBytes = 64 << 10
	// receiveBufferBytes bounds what the kernel reads ahead of a caller's connection.
	receiveBufferBytes = 64 << 10
)

// WriteStallTimeout is the time after which the connection of a caller is closed that takes
// nothing of a response.
const WriteStallTimeout = 15 * time.Second

// errMemoryShort ends a connection without room for its head.
var errMemoryShort = errors.New("no room for the head of a request")

// headCost returns the memory in bytes that what was read at once of a connection takes,
// from the head of a request on. What follows the end of the head counts with its length.
func headCost(read []byte) int64 {
	head := read
	for _, blankLine := range []string{"\n\r\n", "\n\n"} {
		if end := bytes.Index(head, []byte(blankLine)); end >= 0 {
			head = head[:end+len(blankLine)]
		}
	}
	return int64(len(read) + fieldBytes*bytes.Count(head, []byte{'\n'}) + elementBytes*bytes.Count(head, []byte{','}))
}

// requestCost returns the memory in bytes that the head of a request takes.
func requestCost(r *http.Request) int64 {
	cost := int64(len(r.RequestURI)) + elementBytes*int64(len(r.Trailer))
	for name, values := range r.Header {
		for _, v := range values {
			cost += int64(len(name)+len(v)+fieldBytes) + elementBytes*int64(strings.Count(v, ","))
		}
	}
	return cost
}

// callerConnKey is the key of a request's context for its callerConn.
type callerConnKey struct{}

// connContext is the http.Server.ConnContext hook.
func (l *CallerListener) connContext(ctx context.Context, conn net.Conn) context.Context {
	if c := callerConnOf(conn); c != nil {
		return context.WithValue(ctx, callerConnKey{}, c)
	}
	return ctx
}

// callerConnOf returns the callerConn of a connection of http.Server; nil if it is another.
func callerConnOf(conn net.Conn) *callerConn {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok { // TLS
		conn = wrapped.NetConn()
	}
	c, _ := conn.(*callerConn)
	return c
}

// boundHeads closes the connections of requests whose heads have no room in the memory budget.
// Those that came behind an earlier request in one read were not reserved by it. A refusal
// would keep their memory until the caller closes.
func boundHeads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
		if c != nil && !c.memory.ReserveTo(connectionBytes+requestCost(r)) {
			_ = c.refuseHead()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// abort closes the connection under its HTTP server, which then cleans up.
func (c *callerConn) abort() { _ = c.Conn.Close() }

// reserveHead reserves memory for a part of a head. No sound caller's head is large; those that
// are do not wait for room, since what they hold meanwhile would keep small ones out.
func (c *callerConn) reserveHead(bytes int64) bool {
	patience := headPatience
	if c.memory.IsLargeWith(bytes) {
		patience = 0
	}
	return c.memory.Reserve(context.Background(), bytes, patience)
}

// refuseHead closes the connection, of which no request was read.
func (c *callerConn) refuseHead() error {
	c.report(MemoryShort, time.Since(c.state().since))
	c.abort()
	return errMemoryShort
}

func (c *callerConn) report(reason TimeoutReason, waited time.Duration) {
	if c.listener.options.OnTimeout != nil {
		c.listener.options.OnTimeout(c.RemoteAddr(), reason, waited)
	}
}

// Write implements net.Conn. It fails when the caller takes nothing for WriteStallTimeout.
func (c *callerConn) Write(b []byte) (int, error) {
	defer c.endWrite()
	written := 0
	for {
		if !c.startWrite() {
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Write(b[written : written+min(len(b)-written, writePieceBytes)])
		written += n
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && n > 0: // slow, but not stalled
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.report(WriteTimeout, WriteStallTimeout)
			return written, err
		case err != nil || written == len(b):
			return written, err
		}
	}
}

// CloseWrite ends the responses, before http.Server closes the connection.
func (c *callerConn) CloseWrite() error {
	c.mu.Lock()
	c.isLingering = true
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// startWrite sets the deadline of a write. It returns false if the caller was cut off.
func (c *callerConn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = time.Now()
	if c.isCut {
		return false
	}
	return c.Conn.SetWriteDeadline(c.writingSince.Add(WriteStallTimeout)) == nil
}

func (c *callerConn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = time.Time{}
}

// SetWriteDeadline implements net.Conn. A deadline in the past ends all writes; others are
// replaced by that of each write.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.mu.Lock()
		c.isCut = true
		c.mu.Unlock()
	}
	return c.Conn.SetWriteDeadline(t)
}

// awaitPlace waits until there is room for a further connection, and closes one that is of
// no use if there is none. It returns early when the listener drains.
func (l *CallerListener) awaitPlace() {
	for l.options.MaxConnections > 0 {
		conns := l.crowd()
		if conns == nil {
			return
		}
		now := time.Now()
		states := make([]connState, len(conns))
		for i, c := range conns {
			states[i] = c.state()
		}
		if i := leastUseful(states, now, l.options.PlacePatience); i >= 0 {
			conns[i].report(Crowded, now.Sub(states[i].since))
			conns[i].abort()
			conns[i].leavePlace()
			continue
		}
		timer := time.NewTimer(placeCheckInterval)
		select {
		case <-l.left:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// crowd returns the connections if all places are taken, and nil otherwise.
func (l *CallerListener) crowd() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.places < l.options.MaxConnections || !l.drainStart.IsZero() {
		return nil
	}
	return slices.Collect(maps.Keys(l.conns))
}

// leavePlace gives the place of the connection to another, once. Its descriptor is closed;
// its HTTP server may still linger for a while.
func (c *callerConn) leavePlace() {
	c.mu.Lock()
	hadPlace := c.hasPlace
	c.hasPlace = false
	c.mu.Unlock()
	if !hadPlace {
		return
	}
	c.listener.mu.Lock()
	c.listener.places--
	c.listener.mu.Unlock()
	select {
	case c.listener.left <- struct{}{}:
	default:
	}
}

// pace measures the progress of a caller that sends bytes.
type pace struct {
	// paidUntil is the time up to which the bytes that came suffice at the least rate.
	paidUntil time.Time
	// waitingSince is zero unless the connection waits for bytes, and endedAt is the time
	// at which it last did.
	waitingSince, endedAt time.Time
}

func startPace(now time.Time) pace { return pace{paidUntil: now, endedAt: now} }

// wait records that the connection waits from now on. The time for which it did not is not
// the caller's.
func (p *pace) wait(now time.Time) {
	p.paidUntil = p.paidUntil.Add(now.Sub(p.endedAt))
	p.waitingSince = now
}

// add records that n bytes came.
func (p *pace) add(n int, now time.Time) {
	p.paidUntil = p.paidUntil.Add(time.Duration(n) * time.Second / membudget.LeastRate)
	if p.paidUntil.After(now) {
		p.paidUntil = now
	}
	p.waitingSince, p.endedAt = time.Time{}, now
}

// connState is what a connection waits for, and since when.
type connState struct {
	address string
	// isIdle is true between two requests and after the last, and isStoppable while a caller sends a request
	// or reads its response.
	isIdle, isStoppable bool
	// since is the time of the last progress.
	since time.Time
	// sendingSince is when the request began to arrive that the caller sends; zero if it sends
	// none.
	sendingSince time.Time
}

// state returns the state of the connection.
func (c *callerConn) state() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := connState{address: c.address, since: c.since}
	switch {
	case !c.hasPlace:
	case !c.writingSince.IsZero():
		s.isStoppable, s.since = true, c.writingSince
	case c.phase == phaseIdle || c.isLingering:
		s.isIdle = true
	case !c.pace.waitingSince.IsZero() && (c.phase == phaseHeader || c.isReadingBody):
		s.isStoppable, s.since, s.sendingSince = true, c.pace.paidUntil, c.since
	}
	return s
}

// claimOnPlace tells how good the claim of a connection on its place is.
type claimOnPlace int

const (
	// claimNone: it is idle, or its caller has stopped in the middle of a request or of its
	// response.
	claimNone claimOnPlace = iota
	// claimWeak: its caller makes progress, and has been sending the same request for longer
	// than a few round trips, in which those of ordinary callers arrive.
	claimWeak
	claimFull
)

// claim returns the connection's claim on its place, which weakens after patience.
func (s *connState) claim(now time.Time, patience time.Duration) claimOnPlace {
	switch {
	case s.isIdle, s.isStoppable && now.Sub(s.since) >= patience:
		return claimNone
	case !s.sendingSince.IsZero() && now.Sub(s.sendingSince) >= patience:
		return claimWeak
	}
	return claimFull
}

// leastUseful returns the index of the connection whose place a new caller may take, of those
// with the worst claim: one of the address with the most of these, the longest without progress or,
// if all make progress, the one that has been sending for longest. It is -1 if all claims are
// full. It answers crowds that open connections and stay, or that send steadily and slowly; an
// address alone is no reason, since callers may share one.
func leastUseful(conns []connState, now time.Time, patience time.Duration) int {
	worst := claimFull
	for i := range conns {
		worst = min(worst, conns[i].claim(now, patience))
	}
	if worst == claimFull {
		return -1
	}
	since := func(c *connState) time.Time {
		if worst == claimWeak {
			return c.sendingSince
		}
		return c.since
	}
	counts := map[string]int{}
	for i := range conns {
		if conns[i].claim(now, patience) == worst {
			counts[conns[i].address]++
		}
	}
	best := -1
	for i := range conns {
		c := &conns[i]
		if c.claim(now, patience) != worst {
			continue
		}
		if best < 0 || counts[c.address] > counts[conns[best].address] || c.address == conns[best].address && since(c).Before(since(&conns[best])) {
			best = i
		}
	}
	return best
}

const (
	// maxProbeConnections is the number of connections to a listener for probes.
	maxProbeConnections = 64
	// probePatience is how long a connection may keep a place there without progress while
	// others wait. Load balancers and operators' tools send their requests at once.
	probePatience = 100 * time.Millisecond
	// probeMemory is what all connections of the listener may hold. A quarter is kept for small
	// requests, in which that of a probe fits on each connection.
	probeMemory = 6 << 20
)

// NewProbeListener returns a listener on top of l for probes, metrics and operators. Its
// connections have places and memory of their own, so that it answers also while callers hold all
// that is theirs. onTimeout may be nil.
func NewProbeListener(l net.Listener, onTimeout func(net.Addr, TimeoutReason, time.Duration), log *telemetry.Logger) *CallerListener {
	BoundReceiveBuffers(l)
	return NewCallerListener(l, CallerOptions{
		OnTimeout: onTimeout, MaxConnections: maxProbeConnections, PlacePatience: probePatience, Memory: membudget.New(probeMemory, log, metrics.NewRegistry()),
	})
}

// BoundReceiveBuffers bounds what the kernel reads ahead of connections that l accepts. It
// has no effect on listeners other than those of TCP; errors are ignored.
func BoundReceiveBuffers(l net.Listener) {
	if tcp, ok := l.(*net.TCPListener); ok {
		setReceiveBuffer(tcp, receiveBufferBytes)
	}
}
