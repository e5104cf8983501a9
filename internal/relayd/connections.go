package relayd

import (
	"net"
	"net/http"
	"sync"
	"time"

	"buckthornpick/internal/config"
)

// connLimits closes connections of callers that take longer for a request's
// header, or stay idle for longer, than the operators' document allows. It is safe
// for concurrent use.
type connLimits struct {
	// limits returns those in force; zero ones bound nothing.
	limits func() config.CallerLimits

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newConnLimits(limits func() config.CallerLimits) *connLimits {
	return &connLimits{limits: limits, timers: map[net.Conn]*time.Timer{}}
}

// track is a hook for http.Server.ConnState. A connection counts as new or idle
// until the header of its next request has been read.
func (l *connLimits) track(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.arm(conn, l.limits().HeaderTimeoutMillis)
	case http.StateIdle:
		l.arm(conn, l.limits().IdleTimeoutMillis)
	default:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.disarmLocked(conn)
	}
}

func (l *connLimits) arm(conn net.Conn, millis int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disarmLocked(conn)
	if millis <= 0 {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(time.Duration(millis)*time.Millisecond, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.timers[conn] == timer {
			delete(l.timers, conn)
			_ = conn.Close() // the server sees the end of the connection
		}
	})
	l.timers[conn] = timer
}

func (l *connLimits) disarmLocked(conn net.Conn) {
	if timer, ok := l.timers[conn]; ok {
		timer.Stop()
		delete(l.timers, conn)
	}
}
