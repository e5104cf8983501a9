package upstream

import (
	"net"

	"buckthornpick/internal/netx"
)

// Body is the body of a request in one or more parts, as it arrived. The parts must not
// change while calls use them.
type Body [][]byte

// Len returns the length in bytes.
func (b Body) Len() int {
	n := 0
	for _, part := range b {
		n += len(part)
	}
	return n
}

// Join returns the body in one part, a copy unless it has only one.
func (b Body) Join() []byte {
	if len(b) == 1 {
		return b[0]
	}
	joined := make([]byte, 0, b.Len())
	for _, part := range b {
		joined = append(joined, part...)
	}
	return joined
}

// writeTo writes head and the body to c without copying them.
func (b Body) writeTo(c net.Conn, head []byte) error {
	buffers := make(net.Buffers, 0, 1+len(b))
	return netx.WriteBuffers(c, append(append(buffers, head), b...))
}
