// Package tunnel opens connections to backend servers by way of other nodes while this node
// has no path to any server itself. It suits servers to which all nodes are alike.
package tunnel

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/telemetry"
)

// Events logged by tunnels.
var (
	EvBegun = telemetry.Register(2010, "tunnels-begun", slog.LevelWarn, "This node has no path to any backend server; it opens connections to them by way of other nodes.")
	EvEnded = telemetry.Register(2011, "tunnels-ended", slog.LevelInfo, "This node has reached a backend server again and opens connections itself.")
)

const (
	// maxTries limits the nodes that are asked to open a connection, and openTimeout the time
	// to reach one of them.
	maxTries    = 5
	openTimeout = 150 * time.Millisecond
	// dialTimeout limits the dial of the node that is asked.
	dialTimeout = 300 * time.Millisecond
	// probeInterval is the least time between two dials that look for a path.
	probeInterval = 250 * time.Millisecond
	chunkBytes    = 16 << 10
)

// Config holds the dependencies of a Network.
type Config struct {
	Transport *peer.Transport
	// Others returns the nodes that may open connections for this one.
	Others func() []peer.Node
	// Servers returns the addresses of the backend servers.
	Servers func() []string
	Log     *telemetry.Logger
}

// Network is a netx.Network for connections to backend servers. Until Attach it opens all
// connections itself.
type Network struct {
	netx.Network
	config   atomic.Pointer[Config]
	path     netx.PathState
	probedAt atomic.Int64 // Unix nanoseconds
	toProbe  chan []string
}

// New returns a network that opens connections through direct.
func New(direct netx.Network) *Network {
	return &Network{Network: direct, toProbe: make(chan []string, 1)}
}

// Run dials the servers that tell whether there is a path, until ctx ends. It always returns
// nil.
func (n *Network) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case addresses := <-n.toProbe:
			n.probe(ctx, addresses)
		}
	}
}

// probe dials servers at once and closes the connections.
func (n *Network) probe(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var probes sync.WaitGroup
	for _, address := range addresses {
		probes.Go(func() {
			if nc, err := n.dialDirectly(ctx, address); err == nil {
				_ = nc.Close()
			}
		})
	}
	probes.Wait()
}

// requestProbe has servers probed, unless Run has others to probe.
func (n *Network) requestProbe(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	select {
	case n.toProbe <- addresses:
	default:
	}
}

// openRequest asks a node for a connection to a backend server, and openReply is the answer.
type openRequest struct {
	Address string `msgpack:"a"`
}

type openReply struct {
	Error string `msgpack:"e,omitempty"`
}

// Attach connects the network to the other nodes. It must be called before the transport
// runs.
func (n *Network) Attach(c Config) {
	n.config.Store(&c)
	c.Transport.Handle(peer.Tunnel, n.serve)
}

// Dial implements netx.Network.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	c := n.config.Load()
	if c == nil {
		return n.Network.Dial(ctx, address)
	}
	if !n.path.IsLost() {
		nc, err := n.dialDirectly(ctx, address)
		if err == nil || !n.path.IsLost() {
			return nc, err
		}
	}
	n.lookForPath(address)
	if isReached, _ := n.path.HasReached(address); isReached {
		return n.dialDirectly(ctx, address)
	}
	others := c.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var err error = fault.New(fault.Unavailable, "tunnel.dial", address, "no other node has a path")
	for i := 0; i < min(maxTries, len(others)) && ctx.Err() == nil; i++ {
		var nc net.Conn
		if nc, err = n.dialVia(ctx, c.Transport, others[i], address); err == nil {
			return nc, nil
		}
	}
	return nil, err
}

// dialDirectly opens a connection and records what that says about the path.
func (n *Network) dialDirectly(ctx context.Context, address string) (net.Conn, error) {
	startedAt := time.Now()
	nc, err := n.Network.Dial(ctx, address)
	if err != nil && context.Cause(ctx) == context.Canceled {
		return nil, err
	}
	all := n.config.Load().Servers()
	if n.path.RecordDial(address, startedAt, err == nil, len(all)) {
		event := EvEnded
		if err != nil {
			event = EvBegun
		}
		n.config.Load().Log.Log(event, "server", address)
	}
	n.requestProbe(n.path.ToCheck(all))
	return nc, err
}

// lookForPath has the server probed, unless that was done lately.
func (n *Network) lookForPath(address string) {
	last, now := n.probedAt.Load(), time.Now().UnixNano()
	if now-last >= int64(probeInterval) && n.probedAt.CompareAndSwap(last, now) {
		n.requestProbe([]string{address})
	}
}

// dialVia opens a connection by way of another node.
func (n *Network) dialVia(ctx context.Context, t *peer.Transport, node peer.Node, address string) (net.Conn, error) {
	const step = "tunnel.dial"
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := t.Open(openCtx, node, peer.Tunnel, openRequest{address})
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, step, node.ID, "cannot be reached")
	}
	replyCtx, cancelReply := context.WithTimeout(ctx, dialTimeout+openTimeout)
	defer cancelReply()
	var reply openReply
	if err := s.Recv(replyCtx, &reply); err != nil {
		s.Close()
		return nil, fault.Wrap(err, fault.Unavailable, step, node.ID, "no answer")
	}
	if reply.Error != "" {
		s.Close()
		return nil, fault.New(fault.Unavailable, step, node.ID, "%s", reply.Error)
	}
	streamCtx, cancelStream := context.WithCancel(context.Background())
	return &conn{stream: s, ctx: streamCtx, cancel: cancelStream, remote: address}, nil
}

// serve opens a connection for another node and copies bytes until either side closes it.
func (n *Network) serve(ctx context.Context, _ peer.Node, s *peer.Stream) error {
	var r openRequest
	if err := s.DecodeOpening(&r); err != nil {
		return err
	}
	if n.path.IsLost() || !slices.Contains(n.config.Load().Servers(), r.Address) {
		return s.Send(ctx, openReply{Error: "this node has no path, or knows no such server"})
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	server, err := n.dialDirectly(dialCtx, r.Address)
	if err != nil {
		return s.Send(ctx, openReply{Error: err.Error()})
	}
	defer func() { _ = server.Close() }()
	if err := s.Send(ctx, openReply{}); err != nil {
		return err
	}
	recvCtx, cancelRecv := context.WithCancel(ctx)
	var toServer sync.WaitGroup
	toServer.Go(func() {
		defer func() { _ = server.Close() }()
		var chunk []byte
		var writeErr error
		for s.Recv(recvCtx, &chunk) == nil {
			// A server may close the connection before it has read all, and its answer may not
			// have been read yet.
			if writeErr == nil {
				_, writeErr = server.Write(chunk)
			}
		}
	})
	err = copyTo(ctx, s, server)
	cancelRecv()
	toServer.Wait()
	return err
}

// copyTo sends what the server sends until it closes the connection.
func copyTo(ctx context.Context, s *peer.Stream, server net.Conn) error {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := server.Read(chunk)
		if n > 0 {
			if err := s.Send(ctx, chunk[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.Ambiguous, "tunnel.copy", "", "the connection broke")
		}
	}
}

// conn is a connection by way of another node. It has no deadlines: Close ends reads and
// writes.
type conn struct {
	stream  *peer.Stream
	ctx     context.Context
	cancel  context.CancelFunc
	remote  string
	pending []byte
}

func (c *conn) Read(p []byte) (int, error) {
	for len(c.pending) == 0 {
		if err := c.stream.Recv(c.ctx, &c.pending); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

func (c *conn) Write(p []byte) (int, error) {
	for sent := 0; sent < len(p); {
		part := p[sent:min(len(p), sent+chunkBytes)]
		if err := c.stream.Send(c.ctx, part); err != nil {
			return sent, err
		}
		sent += len(part)
	}
	return len(p), nil
}

func (c *conn) Close() error {
	c.cancel()
	c.stream.Close()
	return nil
}

func (c *conn) LocalAddr() net.Addr                { return address("tunnel") }
func (c *conn) RemoteAddr() net.Addr               { return address(c.remote) }
func (c *conn) SetDeadline(time.Time) error        { return os.ErrNoDeadline }
func (c *conn) SetReadDeadline(t time.Time) error  { return c.SetDeadline(t) }
func (c *conn) SetWriteDeadline(t time.Time) error { return c.SetDeadline(t) }

// address is the "host:port" of a server.
type address string

func (address) Network() string  { return "tunnel" }
func (a address) String() string { return string(a) }
