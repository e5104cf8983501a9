package relayd

import (
	"net"
	"net/http"
	"sync"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/telemetry"
)

// Reasons for closing a caller's connection.
const (
	reasonHeaderTimeout = "header-timeout"
	reasonIdleTimeout   = "idle-timeout"
)

// connLimits closes connections of callers that exceed the header or idle timeout
// of the operators' document. It is safe for concurrent use.
type connLimits struct {
	// limits returns the limits in force; a zero timeout means no limit.
	limits func() config.CallerLimits
	log    *telemetry.Logger

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newConnLimits(limits func() config.CallerLimits, log *telemetry.Logger) *connLimits {
	return &connLimits{limits: limits, log: log, timers: map[net.Conn]*time.Timer{}}
}

// track is the http.Server.ConnState hook. A connection stays new or idle until
// the header of its next request has been read, so the header timeout covers the
// first header and the idle timeout the wait for each later one.
func (l *connLimits) track(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.arm(conn, reasonHeaderTimeout, l.limits().HeaderTimeoutMillis)
	case http.StateIdle:
		l.arm(conn, reasonIdleTimeout, l.limits().IdleTimeoutMillis)
	default:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.disarmLocked(conn)
	}
}

// arm replaces the timer of conn by one that closes conn after millis, or by none
// if millis is not positive.
func (l *connLimits) arm(conn net.Conn, reason string, millis int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disarmLocked(conn)
	if millis <= 0 {
		return
	}
	start := time.Now()
	var timer *time.Timer
	timer = time.AfterFunc(time.Duration(millis)*time.Millisecond, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.timers[conn] == timer {
			delete(l.timers, conn)
			_ = conn.Close() // http.Server notices the closed connection
			l.log.Log(EvCallerClosed, "peer", conn.RemoteAddr().String(), "reason", reason, "waited_ms", time.Since(start).Milliseconds())
		}
	})
	l.timers[conn] = timer
}

// disarmLocked stops and removes the timer of conn. l.mu must be held.
func (l *connLimits) disarmLocked(conn net.Conn) {
	if timer, ok := l.timers[conn]; ok {
		timer.Stop()
		delete(l.timers, conn)
	}
}
