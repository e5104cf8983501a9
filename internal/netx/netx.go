// Package netx abstracts the two network operations that the system uses, dial
// and listen, so that the same code runs over TCP and, in tests, over an
// in-memory network. It also has HTTP and listener helpers.
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
