package netx

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// DeadPeerTimeoutSetter is a connection, other than a TCP connection, that detects a
// dead peer itself.
type DeadPeerTimeoutSetter interface {
	SetDeadPeerTimeout(timeout, probeInterval time.Duration)
}

// SetDeadPeerTimeout ends the connection when its peer has acknowledged neither data nor
// keep-alive probes for the timeout. Probes are sent on an idle connection at the
// interval. It has no effect on connections of other kinds; errors are ignored.
func SetDeadPeerTimeout(c net.Conn, timeout, probeInterval time.Duration) {
	switch c := c.(type) {
	case *tcpConn:
		setTCPDeadPeerTimeout(c.tcp, timeout, probeInterval)
	case *net.TCPConn:
		setTCPDeadPeerTimeout(c, timeout, probeInterval)
	case DeadPeerTimeoutSetter:
		c.SetDeadPeerTimeout(timeout, probeInterval)
	}
}

// Aborter is a connection, other than a TCP connection, that can be reset.
type Aborter interface{ Abort() }

// Abort closes a connection by a reset: what was written and has not arrived is lost. Close
// would still deliver it, also after a partition of any length.
func Abort(c net.Conn) {
	switch c := c.(type) {
	case Aborter:
		c.Abort()
		return
	case *tcpConn:
		_ = c.tcp.SetLinger(0) // fails if the connection is closed
	case *net.TCPConn:
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

// setTCPDeadPeerTimeout sets TCP_USER_TIMEOUT, which also decides when probes give up,
// whatever their count.
func setTCPDeadPeerTimeout(c *net.TCPConn, timeout, probeInterval time.Duration) {
	count := max(1, int(timeout/probeInterval))
	_ = c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: count})
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// setReceiveBuffer sets SO_RCVBUF, which accepted connections take over.
func setReceiveBuffer(l *net.TCPListener, size int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
}
