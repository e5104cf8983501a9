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
	// dialTimeout is how long a dial waits for a stalled path.
	dialTimeout = 5 * time.Second
	// firstPort is the first port assigned to a listener on port 0.
	firstPort = 40000
)

// Network holds hosts in zones and the state of the paths between them.
type Network struct {
	seed uint64

	mu               sync.Mutex
	base             time.Duration // see SetLatency
	jitter           time.Duration
	hosts            map[string]*host
	listeners        map[addr]*listener
	conns            map[*conn]struct{} // the dialling end of each connection
	partitionedZones map[[2]string]bool
	cuts             map[cut]CutKind
	dialCount        uint64
	nextPort         int
	changed          chan struct{} // closed and replaced when the state of paths changes
}

type host struct {
	name, zone          string
	partitioned, paused bool
	incarnation         int // incremented when the host is killed
}

// New returns an empty network without latency. seed seeds the jitter.
func New(seed uint64) *Network {
	return &Network{
		seed:             seed,
		hosts:            map[string]*host{},
		listeners:        map[addr]*listener{},
		conns:            map[*conn]struct{}{},
		partitionedZones: map[[2]string]bool{},
		cuts:             map[cut]CutKind{},
		nextPort:         firstPort,
		changed:          make(chan struct{}),
	}
}

// Host returns the network as seen by a process on the named host. After
// KillHost the earlier views of that host are invalid: their Listen and Dial
// fail, as they belong to a process that no longer exists. A new call to Host
// returns a valid view.
func (n *Network) Host(name, zone string) netx.Network {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.host(name)
	h.zone = zone
	return &view{net: n, host: h, incarnation: h.incarnation}
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

// delay returns the parameters of SetLatency, or 0 for loopback traffic.
func (n *Network) delay(a, b *host) (latency, jitter time.Duration) {
	if a == b {
		return 0, 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.base, n.jitter
}

// open reports whether the path between a and b delivers bytes. Callers hold
// n.mu.
func (n *Network) open(a, b *host) bool {
	if a.paused || b.paused {
		return false
	}
	if a == b {
		return true
	}
	return !a.partitioned && !b.partitioned && !n.partitionedZones[zonePair(a.zone, b.zone)] && n.cutOf(a, b) != CutHangs
}

// removeIfClosed unregisters the connection if both of its ends are closed.
func (n *Network) removeIfClosed(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// The connection stays registered until both ends are closed, because a
	// half-closed connection must still be stalled by partitions.
	for _, end := range [2]*conn{c, c.remoteEnd} {
		end.in.mu.Lock()
		closed := end.in.readClosed
		end.in.mu.Unlock()
		if !closed {
			return
		}
	}
	delete(n.conns, c)
	delete(n.conns, c.remoteEnd)
}

func (n *Network) dropListener(l *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.address] == l {
		delete(n.listeners, l.address)
	}
}

// view is the network as seen by one incarnation of a host.
type view struct {
	net         *Network
	host        *host
	incarnation int
}

// Listen implements netx.Network. An empty host part means the host of the
// view.
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
	if v.host.incarnation != v.incarnation {
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

// Dial implements netx.Network. It waits while the path is stalled, for at most
// dialTimeout, and takes one round trip.
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

// awaitPath waits until the path to the host is open.
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

// roundTrip waits for the round trip of a dial to the host.
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

// connect queues a new connection at the listener on to and returns the dialling
// end.
func (v *view) connect(to addr, name string) (*conn, error) {
	n := v.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if v.host.incarnation != v.incarnation {
		return nil, net.ErrClosed
	}
	switch n.cutOf(v.host, n.host(name)) {
	case CutResets:
		return nil, syscall.ECONNRESET
	case CutRefusesNew:
		return nil, syscall.ECONNREFUSED
	}
	l := n.listeners[to]
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	n.dialCount++
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

// pair returns both ends of a new connection.
func (n *Network) pair(from, target *host, to addr) (near, far *conn) {
	forward := newPipe(rand.New(rand.NewPCG(n.seed, 2*n.dialCount)))
	backward := newPipe(rand.New(rand.NewPCG(n.seed, 2*n.dialCount+1)))
	local := addr(fmt.Sprintf("%s:c%d", from.name, n.dialCount))
	near = &conn{net: n, host: from, peer: target, local: local, remote: to, in: backward, out: forward}
	far = &conn{net: n, host: target, peer: from, local: to, remote: local, in: forward, out: backward}
	near.remoteEnd, far.remoteEnd = far, near
	return near, far
}

func (v *view) opError(op, address string, err error) error {
	return &net.OpError{Op: op, Net: "mem", Source: addr(v.host.name), Addr: addr(address), Err: err}
}
