package peer

import (
	"context"
	"time"

	"buckthornpick/internal/fault"
)

// keepAlive pings a silent peer, ends the connection if it stays silent, and
// closes it when it is idle or drained. It ends with the connection.
func (c *conn) keepAlive(ctx context.Context) {
	ticker := time.NewTicker(c.t.options.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.fail(fault.Wrap(ctx.Err(), fault.Unavailable, "peer.run", c.remote.ID, "transport stopped"))
			return
		case <-c.done:
			return
		case <-c.wake:
		case <-ticker.C:
			c.checkSilence()
			if time.Since(time.Unix(0, c.lastUsed.Load())) >= c.t.options.IdleTimeout {
				c.drain(true)
			}
		}
		c.sendGoAway(ctx)
	}
}

// checkSilence pings after the connection's interval and fails the connection
// when no frame has come for PingTimeout after that.
func (c *conn) checkSilence() {
	silence := c.silentFor(time.Now())
	interval := c.pingInterval()
	if silence >= interval+c.t.options.PingTimeout {
		c.fail(fault.New(fault.Unavailable, "peer.ping", c.remote.ID, "no frame for %s", silence))
		return
	}
	if silence >= interval {
		c.enqueueControl(rawFrame(framePing, 0))
	}
}

// pingInterval is IdlePingInterval while the connection has no streams, so
// that a full mesh of idle connections costs little.
func (c *conn) pingInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams) == 0 {
		return c.t.options.IdlePingInterval
	}
	return c.t.options.PingInterval
}

// silence is the time since the last frame, or since streams were opened on an
// idle connection: until then no answer was due within PingInterval.
func (c *conn) silentFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, max(c.lastRead.Load(), c.busySince.Load())))
}

// drain stops new streams; with onlyIdle, only if there are none now.
func (c *conn) drain(onlyIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if onlyIdle && len(c.streams) > 0 {
		return
	}
	c.draining = true
	c.wakeKeepAlive()
}

func (c *conn) sendGoAway(ctx context.Context) {
	c.mu.Lock()
	needed := c.draining && !c.sentGoAway && len(c.streams) == 0
	if needed {
		c.sentGoAway = true
	}
	c.mu.Unlock()
	if needed {
		_ = c.enqueue(ctx, rawFrame(frameGoAway, 0)) // fails only with the connection
	}
}

var errDrained = fault.New(fault.Unavailable, "peer.drain", "", "connection closed after it was drained")

// goneAway handles the peer's goAway. The side that has sent its own before
// closes the connection; the other answers and waits for the end.
func (c *conn) handleGoAway() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gotGoAway, c.draining = true, true
	if c.sentGoAway && len(c.streams) == 0 {
		return errDrained
	}
	c.wakeKeepAlive()
	return nil
}

// drained reports whether the connection ended after a goAway.
func (c *conn) wasDrained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gotGoAway || c.sentGoAway
}

// alive reports whether the connection stands and a frame arrived recently.
func (c *conn) alive(now time.Time) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	return c.silentFor(now) < c.pingInterval()+c.t.options.PingTimeout
}

// open reports whether streams can be opened.
func (c *conn) acceptsStreams() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.draining
}
