// Package rawserver is a backend server that sends scripted bytes over TCP, among them
// responses that break off by a reset, which in-memory networks do not show as TCP does.
package rawserver

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Conn is a connection that the server has accepted.
type Conn struct {
	*net.TCPConn
	reader *bufio.Reader
}

// Serve passes each connection to handle, which closes it, until the end of the test. It
// returns the address of the server.
func Serve(t testing.TB, handle func(*Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var handlers sync.WaitGroup
	handlers.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			handlers.Go(func() {
				defer func() { _ = c.Close() }()
				handle(&Conn{c.(*net.TCPConn), bufio.NewReader(c)})
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		handlers.Wait()
	})
	return listener.Addr().String()
}

// ReadRequest reads the head of a request. Its body is not read.
func (c *Conn) ReadRequest() (*http.Request, error) { return http.ReadRequest(c.reader) }

// Send sends text.
func (c *Conn) Send(text string) { _, _ = c.Write([]byte(text)) } // fails if the caller has left

// Reset resets the connection.
func (c *Conn) Reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}
