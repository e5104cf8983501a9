// Package netx abstracts the two network operations that the system uses, dial
// and listen, so that the same code runs over TCP and, in tests, over an
// in-memory network. It also has HTTP and listener helpers.
package netx

import (
	"context"
	"net"
	"strconv"
	"strings"
)

// Network opens and accepts stream connections.
type Network interface {
	// Dial opens a connection to address ("host:port").
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections on address ("host:port"; port 0 picks one).
	Listen(address string) (net.Listener, error)
}

// IsHostPort reports whether text is "host:port" with a port in digits from 1 to 65535.
func IsHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.ContainsFunc(host, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
