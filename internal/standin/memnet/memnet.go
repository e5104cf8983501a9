// Package memnet is an in-memory network for tests. Its connections block on
// condition variables and standard timers only, so it works inside a
// testing/synctest bubble, where latency costs no real time.
//
// Lock order: Network.mu before pipe.mu.
package memnet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"buckthornpick/internal/netx"
)

const (
	// dialTimeout ends a dial whose path stays cut.
	dialTimeout = 5 * time.Second
	// firstPort is the first port that port 0 picks.
	firstPort = 40000
)

// Network is a set of hosts in zones and the state of the paths between them.
type Network struct {
	seed uint64

	mu        sync.Mutex
	base      time.Duration
	jitter    time.Duration
	hosts     map[string]*host
	listeners map[addr]*listener
	conns     map[*conn]struct{} // dialling ends only
	cutZones  map[[2]string]bool
	dialled   uint64
	nextPort  int
	changed   chan struct{} // closed and replaced when a path changes
}

type host struct {
	name, zone  string
	cut, paused bool
	life        int // rises when the host is killed
}

// New returns an empty network without latency. The seed decides the jitter.
func New(seed uint64) *Network {
	return &Network{
		seed:      seed,
		hosts:     map[string]*host{},
		listeners: map[addr]*listener{},
		conns:     map[*conn]struct{}{},
		cutZones:  map[[2]string]bool{},
		nextPort:  firstPort,
		changed:   make(chan struct{}),
	}
}

// Host returns the network as seen by a process on the named host. After
// KillHost the earlier views of that host are dead: their calls fail, as those
// of a process that no longer exists, and a new call to Host gives a live view.
func (n *Network) Host(name, zone string) netx.Network {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.host(name)
	h.zone = zone
	return &view{net: n, host: h, life: h.life}
}

// SetLatency sets the one-way latency between different hosts to a value in
// [base, base+jitter). Bytes of one connection stay in order.
func (n *Network) SetLatency(base, jitter time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.base, n.jitter = base, jitter
}

func (n *Network) host(name string) *host {
	h := n.hosts[name]
	if h == nil {
		h = &host{name: name}
		n.hosts[name] = h
	}
	return h
}

func (n *Network) delay(a, b *host) (latency, jitter time.Duration) {
	if a == b {
		return 0, 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.base, n.jitter
}

// open reports whether bytes pass between a and b. Callers hold n.mu.
func (n *Network) open(a, b *host) bool {
	if a.paused || b.paused {
		return false
	}
	if a == b {
		return true
	}
	return !a.cut && !b.cut && !n.cutZones[zonePair(a.zone, b.zone)]
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// The entry goes when both ends are closed; a half-closed connection
	// still follows cuts.
	for _, end := range [2]*conn{c, c.other} {
		end.in.mu.Lock()
		closed := end.in.readClosed
		end.in.mu.Unlock()
		if !closed {
			return
		}
	}
	delete(n.conns, c)
	delete(n.conns, c.other)
}

func (n *Network) dropListener(l *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.address] == l {
		delete(n.listeners, l.address)
	}
}

// view is the network seen from one life of a host.
type view struct {
	net  *Network
	host *host
	life int
}

// Listen implements netx.Network. An empty host part means the own host.
func (v *view) Listen(address string) (net.Listener, error) {
	name, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if name != "" && name != v.host.name {
		return nil, v.opError("listen", address, syscall.EADDRNOTAVAIL)
	}
	n := v.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if v.host.life != v.life {
		return nil, v.opError("listen", address, net.ErrClosed)
	}
	if port == "0" {
		port = strconv.Itoa(n.nextPort)
		n.nextPort++
	}
	at := addr(net.JoinHostPort(v.host.name, port))
	if n.listeners[at] != nil {
		return nil, v.opError("listen", address, syscall.EADDRINUSE)
	}
	l := &listener{net: n, address: at, queue: make(chan *conn, backlog), done: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// Dial implements netx.Network. It waits while the path is cut, for 5 s at
// most, and takes one round trip.
func (v *view) Dial(ctx context.Context, address string) (net.Conn, error) {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	timeout := time.NewTimer(dialTimeout)
	defer timeout.Stop()
	if err := v.awaitPath(ctx, name, timeout.C); err != nil {
		return nil, v.opError("dial", address, err)
	}
	if err := v.roundTrip(ctx, name); err != nil {
		return nil, v.opError("dial", address, err)
	}
	c, err := v.connect(addr(address), name)
	if err != nil {
		return nil, v.opError("dial", address, err)
	}
	return c, nil
}

func (v *view) awaitPath(ctx context.Context, name string, timeout <-chan time.Time) error {
	for {
		v.net.mu.Lock()
		open := v.net.open(v.host, v.net.host(name))
		changed := v.net.changed
		v.net.mu.Unlock()
		if open {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-timeout:
			return os.ErrDeadlineExceeded
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (v *view) roundTrip(ctx context.Context, name string) error {
	if name == v.host.name {
		return nil
	}
	v.net.mu.Lock()
	latency := v.net.base
	v.net.mu.Unlock()
	if latency == 0 {
		return nil
	}
	wait := time.NewTimer(2 * latency)
	defer wait.Stop()
	select {
	case <-wait.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (v *view) connect(to addr, name string) (*conn, error) {
	n := v.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if v.host.life != v.life {
		return nil, net.ErrClosed
	}
	l := n.listeners[to]
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	n.dialled++
	near, far := n.pair(v.host, n.host(name), to)
	select {
	case l.queue <- far:
	default:
		return nil, syscall.ECONNREFUSED
	}
	n.conns[near] = struct{}{}
	near.setStalled(!n.open(near.host, near.peer))
	return near, nil
}

func (n *Network) pair(from, target *host, to addr) (near, far *conn) {
	there := newPipe(rand.New(rand.NewPCG(n.seed, 2*n.dialled)))
	back := newPipe(rand.New(rand.NewPCG(n.seed, 2*n.dialled+1)))
	local := addr(fmt.Sprintf("%s:c%d", from.name, n.dialled))
	near = &conn{net: n, host: from, peer: target, local: local, remote: to, in: back, out: there}
	far = &conn{net: n, host: target, peer: from, local: to, remote: local, in: there, out: back}
	near.other, far.other = far, near
	return near, far
}

func (v *view) opError(op, address string, err error) error {
	return &net.OpError{Op: op, Net: "mem", Source: addr(v.host.name), Addr: addr(address), Err: err}
}
