package peer

import (
	"net"
	"slices"
	"sync"
	"time"
)

// handshakePatience is how long an accepted connection may take for its handshake while
// others wait. A node of the site takes some round trips.
const handshakePatience = 300 * time.Millisecond

// pendingHandshakes holds the accepted connections that are not authenticated yet, the oldest
// first. It answers strangers that open connections and stay, so that nodes still get in. It
// is safe for concurrent use.
type pendingHandshakes struct {
	max int

	mu   sync.Mutex
	list []pendingHandshake
}

type pendingHandshake struct {
	conn  net.Conn
	since time.Time
}

// add adds a connection. If there are too many, the oldest is closed if it has had its time,
// and otherwise add returns false and the new one is not added.
func (p *pendingHandshakes) add(c net.Conn, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.list) >= p.max {
		if now.Sub(p.list[0].since) < handshakePatience {
			return false
		}
		_ = p.list[0].conn.Close()
		p.list = slices.Delete(p.list, 0, 1)
	}
	p.list = append(p.list, pendingHandshake{c, now})
	return true
}

// remove removes a connection whose handshake has ended.
func (p *pendingHandshakes) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = slices.DeleteFunc(p.list, func(h pendingHandshake) bool { return h.conn == c })
}
