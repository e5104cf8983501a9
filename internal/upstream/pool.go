package upstream

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/netx"
)

const (
	// dialTimeout limits the time to open a connection. It allows a few round trips
	// between availability zones and does not wait for the retransmission of a lost
	// packet, which takes a second.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server states
	// no timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleMargin is subtracted from the server's idle timeout, so that no request is
	// under way when the server closes the connection.
	idleMargin = time.Second
	// maxIdlePerServer limits the number of idle connections to one server.
	maxIdlePerServer = 64
)

// Target is a backend server that requests are sent to.
type Target struct {
	ID      string
	Address string
	// Group is the service of the server. A host may have a path to one service and none to
	// another one.
	Group string
	// Incarnation distinguishes successive starts of a server with the same ID.
	Incarnation int64
	// MaxConnections limits the number of this pool's open connections to the server;
	// 0 is no limit.
	MaxConnections int
}

// Pool holds the connections to backend servers. It is safe for concurrent use.
type Pool struct {
	network netx.Network
	opened  metrics.Counter
	// maxOpen limits the number of open connections to all servers; 0 is no limit.
	maxOpen int

	// onPathChange is called when the path to a group is lost or regained; may be nil.
	onPathChange func(group string, isLost bool)
	// toCheck holds servers to probe, to know whether the path is lost.
	toCheck chan []Target

	mu sync.Mutex
	// targets and servers are keyed by server ID.
	targets map[string]Target
	servers map[string]*serverConns
	// groups are keyed by name.
	groups map[string]*group
}

// serverConns holds the connections to one incarnation of a server.
type serverConns struct {
	target Target
	idle   []*conn
	// openCount is the number of idle connections and of those in use.
	openCount int
}

// NewPool returns a pool without connections.
func NewPool(n netx.Network, registry metrics.Registry) *Pool {
	p := &Pool{
		network: n, targets: map[string]Target{}, servers: map[string]*serverConns{}, groups: map[string]*group{}, toCheck: make(chan []Target, 1),
		opened: metrics.GetOrRegisterCounter("upstream.connections_opened_total", registry),
	}
	p.metricsOfPath(registry)
	return p
}

// SetMaxOpen limits the number of open connections to all servers; 0 is no limit. It must be
// called before the pool is used.
func (p *Pool) SetMaxOpen(n int) { p.maxOpen = n }

// hasRoomLocked reports whether one more connection may be opened. If the limit is reached, it
// closes idle connections of a server. The pool's mutex must be held.
func (p *Pool) hasRoomLocked() bool {
	if p.maxOpen == 0 {
		return true
	}
	open := 0
	var most *serverConns
	for _, s := range p.servers {
		open += s.openCount
		if most == nil || len(s.idle) > len(most.idle) {
			most = s
		}
	}
	if open < p.maxOpen {
		return true
	}
	if most == nil || len(most.idle) == 0 {
		return false
	}
	most.closeIdle()
	return true
}

// SetTargets closes the idle connections to servers that are not listed or were
// restarted. Connections in use are closed when their request ends.
func (p *Pool) SetTargets(targets []Target) {
	known := map[string]Target{}
	for _, t := range targets {
		known[t.ID] = t
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = known
	for id, s := range p.servers {
		if t, ok := known[id]; !ok || t.Address != s.target.Address || t.Incarnation != s.target.Incarnation {
			s.closeIdle()
			delete(p.servers, id)
		}
	}
}

// closeIdle closes the idle connections. The pool's mutex must be held.
func (s *serverConns) closeIdle() {
	for _, c := range s.idle {
		_ = c.Close()
	}
	s.openCount -= len(s.idle)
	s.idle = nil
}

// serverLocked returns the connections to the target. Idle connections to an
// earlier incarnation or address are closed.
func (p *Pool) serverLocked(t Target) *serverConns {
	s, ok := p.servers[t.ID]
	if ok && (s.target.Address != t.Address || s.target.Incarnation != t.Incarnation) {
		s.closeIdle()
		ok = false
	}
	if !ok {
		s = &serverConns{target: t}
		p.servers[t.ID] = s
	}
	return s
}

// get returns a new connection, or an idle one that is reusable if mayReuse is set. An error is
// fault.Unavailable or fault.Exhausted.
func (p *Pool) get(ctx context.Context, t Target, mayReuse bool) (*conn, error) {
	p.mu.Lock()
	s := p.serverLocked(t)
	now := time.Now()
	for mayReuse && len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if now.Before(c.idleUntil) && c.isReusable() {
			p.mu.Unlock()
			return c, nil
		}
		_ = c.Close()
		s.openCount--
	}
	if t.MaxConnections > 0 && s.openCount >= t.MaxConnections {
		p.mu.Unlock()
		return nil, fault.New(fault.Exhausted, "upstream.dial", t.ID, "all %d connections are in use", t.MaxConnections)
	}
	if !p.hasRoomLocked() {
		p.mu.Unlock()
		return nil, fault.New(fault.Exhausted, "upstream.dial", t.ID, "all %d connections to servers are in use", p.maxOpen)
	}
	s.openCount++
	p.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.dial(dialCtx, ctx, t, s)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "upstream.dial", t.ID, "cannot connect")
	}
	return c, nil
}

// put keeps a connection for reuse until its idle timeout, or closes it if the
// timeout is 0, the server is no longer listed or it has enough idle connections.
func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	if idleTimeout > 0 {
		p.mu.Lock()
		if p.servers[c.server.target.ID] == c.server && len(c.server.idle) < maxIdlePerServer {
			c.idleUntil = time.Now().Add(idleTimeout)
			c.server.idle = append(c.server.idle, c)
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
	}
	_ = c.Close()
	p.decrementOpen(c.server)
}

// abort resets a connection and forgets it.
func (p *Pool) abort(c *conn) {
	netx.Abort(c.Conn)
	p.decrementOpen(c.server)
}

// decrementOpen removes a closed or failed connection from the server's open
// connections.
func (p *Pool) decrementOpen(s *serverConns) {
	p.mu.Lock()
	s.openCount--
	p.mu.Unlock()
}

// Close closes all idle connections.
func (p *Pool) Close() { p.SetTargets(nil) }

// ProbeResult tells what became of a server's process.
type ProbeResult int

const (
	// ProbeAccepted: the server accepts connections.
	ProbeAccepted ProbeResult = iota
	// ProbeRefused: the host runs, and no process listens there.
	ProbeRefused
	// ProbeUnanswered: the host does not answer, or cannot be reached.
	ProbeUnanswered
)

// Probe opens a connection to the server and keeps it for the next request.
func (p *Pool) Probe(ctx context.Context, t Target) ProbeResult {
	p.mu.Lock()
	s := p.serverLocked(t)
	s.openCount++
	p.mu.Unlock()
	c, err := p.dial(ctx, context.Background(), t, s)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return ProbeRefused
		}
		return ProbeUnanswered
	}
	p.put(c, defaultIdleTimeout-idleMargin)
	return ProbeAccepted
}
