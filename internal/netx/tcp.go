package netx

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// TCP implements Network with the operating system's TCP stack.
type TCP struct{}

// Dial implements Network. A read of the connection returns io.EOF only if the peer has closed
// its sending side; see brokenEnd.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &tcpConn{Conn: c, tcp: c.(*net.TCPConn)}
	conn.written.L = &conn.mu
	return conn, nil
}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// tcpConn is a TCP connection whose reads and writes may be concurrent. The kernel reports the
// error of a broken connection once, to whichever of them comes first; if that is a write,
// reads return io.EOF, as at a regular end.
type tcpConn struct {
	net.Conn
	tcp *net.TCPConn

	mu sync.Mutex
	// writes is the number of writes in progress, and written is signalled when there are none.
	writes  int
	written sync.Cond
	// writeErr is the error of the first write that failed.
	writeErr error
}

// Write implements net.Conn.
func (c *tcpConn) Write(p []byte) (int, error) {
	c.beginWrite()
	n, err := c.tcp.Write(p)
	c.endWrite(err)
	return n, err
}

// WriteBuffers implements BuffersWriter.
func (c *tcpConn) WriteBuffers(buffers net.Buffers) (int64, error) {
	c.beginWrite()
	n, err := buffers.WriteTo(c.tcp)
	c.endWrite(err)
	return n, err
}

// Read implements net.Conn.
func (c *tcpConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.brokenEnd()
	}
	return n, err
}

// CloseWrite closes the sending side.
func (c *tcpConn) CloseWrite() error { return c.tcp.CloseWrite() }

// SyscallConn implements syscall.Conn.
func (c *tcpConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

func (c *tcpConn) beginWrite() {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
}

func (c *tcpConn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
	if c.writes--; c.writes == 0 {
		c.written.Broadcast()
	}
}

// brokenEnd returns the error of a read at the end of what was received: that of a write if the
// connection has broken, else io.EOF. It ends writes in progress, since one of them may have
// got the error and not returned yet.
func (c *tcpConn) brokenEnd() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writes > 0 {
		_ = c.tcp.SetWriteDeadline(time.Unix(1, 0)) // fails if the connection is closed, which ends writes too
		c.written.Wait()
	}
	if isBroken(c.writeErr) {
		return c.writeErr
	}
	return io.EOF
}

// isBroken reports whether a write failed because the connection had broken before its peer
// closed it. A reset after that close is EPIPE.
func isBroken(writeErr error) bool {
	for _, other := range []error{syscall.EPIPE, os.ErrDeadlineExceeded, net.ErrClosed} {
		if errors.Is(writeErr, other) {
			return false
		}
	}
	return writeErr != nil
}

// BuffersWriter is a connection that writes several buffers at once.
type BuffersWriter interface {
	WriteBuffers(net.Buffers) (int64, error)
}

// WriteBuffers writes the buffers to c, at once if the connection can do so.
func WriteBuffers(c net.Conn, buffers net.Buffers) error {
	if w, ok := c.(BuffersWriter); ok {
		_, err := w.WriteBuffers(buffers)
		return err
	}
	_, err := buffers.WriteTo(c)
	return err
}
