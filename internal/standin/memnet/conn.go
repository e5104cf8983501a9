package memnet

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// addr is a "host:port" address on the in-memory network.
type addr string

func (addr) Network() string  { return "mem" }
func (a addr) String() string { return string(a) }

// conn is one end of a connection.
type conn struct {
	net           *Network
	host, peer    *host
	local, remote addr
	in, out       *pipe
	remoteEnd     *conn
	closeOnce     sync.Once
	// isSilent marks a connection that delivers nothing any more; guarded by the
	// network's mutex, and set at the dialling end only.
	isSilent bool

	// Of the dead-peer timeout, which netx.SetDeadPeerTimeout sets.
	deadPeerMu      sync.Mutex
	deadPeerTimeout time.Duration
	deadPeerTimer   *time.Timer
	hasGivenUp      atomic.Bool
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.in.read(b)
	return n, c.opError("read", err)
}

func (c *conn) Write(b []byte) (int, error) {
	latency, jitter := c.net.delay(c.host, c.peer)
	n, err := c.out.write(b, latency, jitter)
	return n, c.opError("write", err)
}

// CloseWrite closes the sending direction only.
func (c *conn) CloseWrite() error {
	latency, _ := c.net.delay(c.host, c.peer)
	c.out.closeWrite(latency)
	return nil
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		latency, _ := c.net.delay(c.host, c.peer)
		c.out.closeWrite(latency)
		c.in.closeRead(latency)
		c.updateDeadPeerTimer(false)
		c.net.removeIfClosed(c)
	})
	return nil
}

// Abort implements netx.Aborter. There is nothing to reset once this end has given up.
func (c *conn) Abort() {
	if !c.hasGivenUp.Load() {
		c.reset(c.host)
	}
	_ = c.Close()
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// reset resets the connection after resetHost, the host of one of its ends, was
// reset or killed. An end on resetHost sees the reset at once, the other end only
// while the path is not stalled.
func (c *conn) reset(resetHost *host) {
	c.in.setReset(c.host == resetHost, c.peer == resetHost)
	c.out.setReset(c.peer == resetHost, c.host == resetHost)
}

func (c *conn) setStalled(stalled bool) {
	c.in.setStalled(stalled)
	c.out.setStalled(stalled)
	c.updateDeadPeerTimer(stalled)
}

// SetDeadPeerTimeout implements netx.DeadPeerTimeoutSetter: this end fails once the
// path has been stalled for the timeout and at least one keep-alive probe has failed.
func (c *conn) SetDeadPeerTimeout(timeout, probeInterval time.Duration) {
	c.deadPeerMu.Lock()
	defer c.deadPeerMu.Unlock()
	c.deadPeerTimeout = max(timeout, probeInterval)
}

// updateDeadPeerTimer starts the dead-peer timeout when the path becomes stalled and
// stops it when bytes are delivered again.
func (c *conn) updateDeadPeerTimer(stalled bool) {
	c.deadPeerMu.Lock()
	defer c.deadPeerMu.Unlock()
	switch {
	case !stalled && c.deadPeerTimer != nil:
		c.deadPeerTimer.Stop()
		c.deadPeerTimer = nil
	case stalled && c.deadPeerTimer == nil && c.deadPeerTimeout > 0:
		c.deadPeerTimer = time.AfterFunc(c.deadPeerTimeout, c.giveUp)
	}
}

// giveUp ends the connection at this end only. What it has written is still delivered when the
// path is open again.
func (c *conn) giveUp() {
	c.hasGivenUp.Store(true)
	c.in.failReads()
	c.out.failWrites()
}

func (c *conn) opError(op string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return &net.OpError{Op: op, Net: "mem", Source: c.local, Addr: c.remote, Err: err}
}
