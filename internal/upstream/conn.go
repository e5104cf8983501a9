package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer holds the head of an answer or a few events.
	readBuffer = 2048
	// silenceLimit ends a connection whose peer acknowledges nothing, so that a
	// server that lost power is noticed before callers leave at 2 s.
	deadPeerTimeout = 1500 * time.Millisecond
	// probeInterval is the pause between keep-alive probes of a silent peer.
	keepAliveInterval = time.Second
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	server    *serverConns
	idleUntil time.Time
}

func newConn(nc net.Conn, s *serverConns) *conn {
	if tcp, ok := nc.(*net.TCPConn); ok {
		setDeadPeerTimeouts(tcp)
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBuffer), server: s}
}

// detectSilence bounds the time for which a dead peer goes unnoticed. Failures
// are ignored: the bounds of each call hold all the same.
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

// isClean reports whether an idle connection is open and holds no bytes, which
// would belong to no call.
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
