package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/netx"
)

const (
	// dialTimeout bounds the opening of a connection: a few round trips between
	// zones, and one lost packet is sent again after a second.
	dialTimeout = 300 * time.Millisecond
	// defaultIdle is how long a connection is kept if the server does not say.
	defaultIdleTimeout = 3 * time.Second
	// idleMargin is taken off the time that the server says, for the way there.
	idleMargin = time.Second
	// maxIdlePerServer bounds the kept connections to one server.
	maxIdlePerServer = 64
)

// Target is a backend server to call.
type Target struct {
	ID      string
	Address string
	// Run tells starts of a server under one ID apart.
	Incarnation int64
	// MaxConnections bounds the open connections of this pool to it; 0 does not.
	MaxConnections int
}

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	network netx.Network
	opened  metrics.Counter

	mu      sync.Mutex
	servers map[string]*serverConns
}

type serverConns struct {
	target    Target
	idle      []*conn
	openCount int
}

// NewPool returns an empty pool.
func NewPool(n netx.Network, registry metrics.Registry) *Pool {
	return &Pool{
		network: n, servers: map[string]*serverConns{},
		opened: metrics.GetOrRegisterCounter("upstream.connections_opened_total", registry),
	}
}

// SetTargets closes the idle connections of servers that are not listed or were
// started again; those in use end with their call.
func (p *Pool) SetTargets(targets []Target) {
	known := map[string]Target{}
	for _, t := range targets {
		known[t.ID] = t
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.servers {
		if t, ok := known[id]; !ok || t.Address != s.target.Address || t.Incarnation != s.target.Incarnation {
			s.closeIdle()
			delete(p.servers, id)
		}
	}
}

func (s *serverConns) closeIdle() {
	for _, c := range s.idle {
		_ = c.Close()
	}
	s.openCount -= len(s.idle)
	s.idle = nil
}

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

// get returns a kept connection that is still clean, or a new one. An error is
// fault.Unavailable or fault.Exhausted, and nothing was sent.
func (p *Pool) get(ctx context.Context, t Target) (*conn, error) {
	p.mu.Lock()
	s := p.serverLocked(t)
	now := time.Now()
	for len(s.idle) > 0 {
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
	s.openCount++
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.network.Dial(ctx, t.Address)
	if err != nil {
		p.release(s)
		return nil, fault.Wrap(err, fault.Unavailable, "upstream.dial", t.ID, "cannot connect")
	}
	p.opened.Inc(1)
	return newConn(nc, s), nil
}

// put keeps a connection for the next call, or closes it.
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
	p.release(c.server)
}

func (p *Pool) release(s *serverConns) {
	p.mu.Lock()
	s.openCount--
	p.mu.Unlock()
}

// Close closes all idle connections.
func (p *Pool) Close() { p.SetTargets(nil) }

// Probe reports whether the server takes a connection, and keeps it for a call.
func (p *Pool) Probe(ctx context.Context, t Target) bool {
	p.mu.Lock()
	s := p.serverLocked(t)
	s.openCount++
	p.mu.Unlock()
	nc, err := p.network.Dial(ctx, t.Address)
	if err != nil {
		p.release(s)
		return false
	}
	p.opened.Inc(1)
	p.put(newConn(nc, s), defaultIdleTimeout-idleMargin)
	return true
}
