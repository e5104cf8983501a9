// Package netx names the two network operations the system needs, so that the
// same code runs over TCP and over an in-memory network in tests.
package netx

import (
	"context"
	"net"
)

// Network opens and accepts stream connections.
type Network interface {
	// Dial opens a connection to address ("host:port").
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections on address ("host:port"; port 0 picks one).
	Listen(address string) (net.Listener, error)
}

// TCP is the operating system's network.
type TCP struct{}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}
