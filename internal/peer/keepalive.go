package peer

import (
	"context"
	"time"

	"buckthornpick/internal/fault"
)

// keepAlive pings the peer when no frames arrive, fails the connection if there
// is no reply, and closes it when it is idle or drained. It returns when the
// connection ends.
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
		if c.isDrained() {
			c.fail(errDrained)
			return
		}
	}
}

// checkSilence sends a ping when no frame has arrived for the ping interval, and
// fails the connection when none has arrived for PingTimeout after that.
func (c *conn) checkSilence() {
	silence, interval := c.silence(time.Now())
	if silence >= interval+c.t.options.PingTimeout {
		c.fail(fault.New(fault.Unavailable, "peer.ping", c.remote.ID, "no frame for %s", silence))
		return
	}
	if silence >= interval {
		c.enqueueControl(rawFrame(framePing, 0))
	}
}

// silence returns for how long no frame has arrived and after how long a ping is
// due. That is IdlePingInterval while the connection has no streams, so that a full
// mesh of idle connections causes little traffic, and PingInterval otherwise. Silence
// from before the first stream was opened does not count then. Both are read under
// one lock: idle silence must not be held against the interval of a busy connection.
func (c *conn) silence(now time.Time) (silence, pingInterval time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pingInterval = c.t.options.PingInterval
	if len(c.streams) == 0 {
		pingInterval = c.t.options.IdlePingInterval
	}
	return now.Sub(time.Unix(0, max(c.lastRead.Load(), c.busySince))), pingInterval
}

// drain stops opening new streams on the connection, which is closed when its
// streams have ended. With onlyIdle it does nothing if there are streams.
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
		_ = c.enqueue(ctx, rawFrame(frameGoAway, 0)) // fails only if the connection has failed
	}
}

var errDrained = fault.New(fault.Unavailable, "peer.drain", "", "connection closed after it was drained")

// handleGoAway handles a goAway frame of the peer. The side that has already
// sent its own closes the connection; the other sends one in reply, when its
// streams have ended, and waits for the connection to be closed.
func (c *conn) handleGoAway() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gotGoAway, c.draining = true, true
	if c.sentGoAway && len(c.streams) == 0 {
		return errDrained
	}
	c.closesWhenIdle = c.sentGoAway
	c.wakeKeepAlive()
	return nil
}

// isDrained reports whether this side must close the connection because its last stream
// was removed after the peer's goAway frame had come.
func (c *conn) isDrained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closesWhenIdle && len(c.streams) == 0
}

// wasDrained reports whether a goAway frame was sent or received, so that the end
// of the connection is not a failure.
func (c *conn) wasDrained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gotGoAway || c.sentGoAway
}

// alive reports whether the connection is open and a frame arrived recently.
func (c *conn) alive(now time.Time) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	silence, interval := c.silence(now)
	return silence < interval+c.t.options.PingTimeout
}

// acceptsStreams reports whether new streams can be opened.
func (c *conn) acceptsStreams() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.draining
}
