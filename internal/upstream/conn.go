package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer is the buffer size in bytes, enough for the status and headers of a
	// response or a few events.
	readBuffer = 2048
	// deadPeerTimeout closes a connection whose peer acknowledges nothing, so that a
	// server that lost power is detected before callers time out after 2 s.
	deadPeerTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the interval of TCP keep-alive probes on an idle
	// connection.
	keepAliveInterval = time.Second
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	server    *serverConns
	idleUntil time.Time
}

// newConn returns a connection to a server. On TCP it sets the timeouts that
// detect a dead peer.
func newConn(nc net.Conn, s *serverConns) *conn {
	if tcp, ok := nc.(*net.TCPConn); ok {
		setDeadPeerTimeouts(tcp)
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBuffer), server: s}
}

// setDeadPeerTimeouts limits the time until a dead peer is detected. Errors are
// ignored, since each request has a timeout of its own.
func setDeadPeerTimeouts(tcp *net.TCPConn) {
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadPeerTimeout.Milliseconds()))
	})
}

// isReusable reports whether an idle connection is open and has no unread bytes,
// which would belong to no request. It peeks at the socket without blocking.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	isReusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isReusable = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && isReusable
}
