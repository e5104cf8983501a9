package slopes

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/memnet"
	"buckthornpick/internal/standin/site"
)

// Address suffix of the nodes' peer listeners and address prefixes of the
// platform's stand-ins on the in-memory network.
const (
	peerPort  = ":7070"
	storeHost = "store:"
	cloudHost = "cloud:"
)

// traffic counts the bytes of one host by destination.
type traffic struct {
	// peer counts bytes written to other nodes, on both dialled and accepted
	// connections.
	peer atomic.Int64
	// store and cloud count bytes written to and read from the platform.
	store, cloud atomic.Int64
}

// reading is a snapshot of the counters of a traffic, in bytes.
type reading struct{ peer, store, cloud float64 }

func (t *traffic) read() reading {
	return reading{float64(t.peer.Load()), float64(t.store.Load()), float64(t.cloud.Load())}
}

// meter is a site.Fabric that counts the bytes of each host.
type meter struct {
	site.Fabric

	mu    sync.Mutex
	hosts map[string]*traffic
}

func newMeter(seed uint64) *meter {
	return &meter{Fabric: site.Memory(memnet.New(seed)), hosts: map[string]*traffic{}}
}

// Host implements site.Fabric.
func (m *meter) Host(name, zone string) netx.Network {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.hosts[name]
	if t == nil {
		t = &traffic{}
		m.hosts[name] = t
	}
	return meteredNetwork{Network: m.Fabric.Host(name, zone), traffic: t}
}

// readings returns the counts of the hosts whose names start with prefix.
func (m *meter) readings(prefix string) map[string]reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]reading{}
	for name, t := range m.hosts {
		if strings.HasPrefix(name, prefix) {
			out[name] = t.read()
		}
	}
	return out
}

type meteredNetwork struct {
	netx.Network
	traffic *traffic
}

// Dial implements netx.Network.
func (n meteredNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	switch {
	case strings.HasSuffix(address, peerPort):
		return &meteredConn{Conn: c, written: &n.traffic.peer}, nil
	case strings.HasPrefix(address, storeHost):
		return &meteredConn{Conn: c, written: &n.traffic.store, read: &n.traffic.store}, nil
	case strings.HasPrefix(address, cloudHost):
		return &meteredConn{Conn: c, written: &n.traffic.cloud, read: &n.traffic.cloud}, nil
	}
	return c, nil
}

// Listen implements netx.Network.
func (n meteredNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	if err != nil || !strings.HasSuffix(address, peerPort) {
		return l, err
	}
	return meteredListener{Listener: l, traffic: n.traffic}, nil
}

type meteredListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, written: &l.traffic.peer}, nil
}

// meteredConn adds the bytes written and read to its counters; read may be nil.
type meteredConn struct {
	net.Conn
	written, read *atomic.Int64
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.read != nil {
		c.read.Add(int64(n))
	}
	return n, err
}
