package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"buckthornpick/internal/netx"
)

const (
	// readBuffer is the buffer size in bytes, enough for the status and headers of a
	// response or a few events.
	readBuffer = 2048
	// deadPeerTimeout closes a connection whose peer acknowledges nothing. It exceeds most
	// partitions and the time for which most calls are waited for, which reset the connection
	// when they are given up: what it holds when the kernel closes it may be delivered
	// after the partition.
	deadPeerTimeout = 8 * time.Second
	// maxHeadBytes limits the status line and the headers of a response.
	maxHeadBytes = 64 << 10
	// keepAliveInterval is the interval of TCP keep-alive probes on an idle
	// connection.
	keepAliveInterval = time.Second
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	// reader reads through head, which limits what the head of a response may take.
	reader    *bufio.Reader
	head      *headLimiter
	server    *serverConns
	idleUntil time.Time
	// connectedAt is when the connection had been opened.
	connectedAt time.Time
}

// newConn returns a connection to a server, which ends if the server is dead.
// receivedAt is set to the time of each read that returns bytes.
func newConn(nc net.Conn, s *serverConns, receivedAt *atomic.Int64) *conn {
	netx.SetDeadPeerTimeout(nc, deadPeerTimeout, keepAliveInterval)
	head := &headLimiter{source: nc, receivedAt: receivedAt}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(head, readBuffer), head: head, server: s, connectedAt: time.Now()}
}

// errHeadTooLarge ends the read of a response whose head exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("head of the response exceeds the size limit")

// headLimiter limits the bytes that are read of a connection while the head of a
// response is parsed, since http.ReadResponse sets no limit, and records them.
type headLimiter struct {
	source    io.Reader
	isLimited bool
	remaining int
	recorder  netx.HeadRecorder
	// receivedAt is the time of the last read that returned bytes, in Unix nanoseconds.
	receivedAt *atomic.Int64
}

// start begins a head, of which some bytes may be buffered already. These are not counted.
func (l *headLimiter) start(buffered []byte) {
	l.isLimited, l.remaining = true, maxHeadBytes
	l.recorder.Start()
	l.recorder.Record(buffered)
}

// stop ends the head. It returns an error if the head is not valid.
func (l *headLimiter) stop() error {
	l.isLimited = false
	return l.recorder.Check()
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.isLimited {
		if l.remaining == 0 {
			return 0, errHeadTooLarge
		}
		p = p[:min(len(p), l.remaining)]
	}
	n, err := l.source.Read(p)
	if n > 0 {
		l.receivedAt.Store(time.Now().UnixNano())
	}
	if l.isLimited {
		l.remaining -= n
		l.recorder.Record(p[:n])
	}
	return n, err
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
