package memnet

import (
	"net"
	"sync/atomic"
	"time"

	"buckthornpick/internal/netx"
)

// ReadFault delays data between its arrival and the reader, as on a busy host.
type ReadFault struct {
	// Delay is a time.Duration.
	Delay atomic.Int64
	// Reads is the number of reads that returned data.
	Reads atomic.Int64
}

// SlowReads is a network on which the connections that a listener at Address has
// accepted are read with the fault.
type SlowReads struct {
	netx.Network
	Address string
	Fault   *ReadFault
}

// Listen implements netx.Network.
func (n SlowReads) Listen(address string) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	if err != nil || address != n.Address {
		return l, err
	}
	return slowListener{l, n.Fault}, nil
}

type slowListener struct {
	net.Listener
	fault *ReadFault
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c, l.fault}, nil
}

type slowConn struct {
	net.Conn
	fault *ReadFault
}

// Read implements net.Conn.
func (c slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.fault.Reads.Add(1)
		time.Sleep(time.Duration(c.fault.Delay.Load()))
	}
	return n, err
}
