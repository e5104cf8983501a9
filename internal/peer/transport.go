// Package peer implements the inner protocol, which the nodes of a site speak
// to each other: typed streams and one-way notifications, encoded with msgpack
// in length-prefixed frames, over one authenticated TCP connection per pair of
// nodes.
//
// A connection is dialled when it is first needed. When two nodes dial each
// other at the same time, both connections are usable; new streams use the one
// dialled by the node with the lower ID, and the other is drained and closed.
package peer

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/telemetry"
)

// Node identifies one node of the site, an entry or a relay.
type Node struct {
	ID   string `msgpack:"i"`
	Zone string `msgpack:"z"`
	// Address is the "host:port" on which the node accepts peer connections.
	Address string `msgpack:"a"`
}

// Handler serves one stream. The opener receives a returned error as a
// *RemoteError. ctx is cancelled when the opener closes the stream or the
// connection is lost.
type Handler func(ctx context.Context, from Node, s *Stream) error

// NotifyHandler handles one notification. It runs in the connection's read loop
// and must not block.
type NotifyHandler func(from Node, decode func(any) error)

// Transport opens and accepts streams on connections to other nodes while Run
// is running. It is safe for concurrent use.
type Transport struct {
	self        Node
	network     netx.Network
	log         *telemetry.Logger
	options     Options
	incarnation uint64

	// handlers and notifyHandlers are immutable once Run has started.
	handlers       map[Kind]Handler
	notifyHandlers map[Kind]NotifyHandler

	connections, lost, handshakeErrors, notifyDropped metrics.Counter

	pending pendingHandshakes

	started chan struct{} // closed when runCtx is set
	stopped chan struct{} // closed when Run is ending
	runCtx  context.Context

	mu      sync.Mutex
	peers   map[string]*peerState
	closing bool
	wg      sync.WaitGroup // goroutines of dials and connections; Add under mu
}

// New returns a transport for the node self.
func New(self Node, n netx.Network, log *telemetry.Logger, registry metrics.Registry, o Options) *Transport {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // documented never to return an error
	return &Transport{
		self: self, network: n, log: log, options: o.withDefaults(),
		incarnation:     binary.BigEndian.Uint64(seed[:]),
		handlers:        map[Kind]Handler{},
		notifyHandlers:  map[Kind]NotifyHandler{},
		connections:     metrics.GetOrRegisterCounter("peer.connections", registry),
		lost:            metrics.GetOrRegisterCounter("peer.lost", registry),
		handshakeErrors: metrics.GetOrRegisterCounter("peer.handshake_errors", registry),
		notifyDropped:   metrics.GetOrRegisterCounter("peer.notify_dropped", registry),
		pending:         pendingHandshakes{max: o.withDefaults().MaxHandshakes},
		started:         make(chan struct{}),
		stopped:         make(chan struct{}),
		peers:           map[string]*peerState{},
	}
}

// Self returns the node of this transport.
func (t *Transport) Self() Node { return t.self }

// Handle registers the handler of a kind of stream; it must be called before
// Run.
func (t *Transport) Handle(kind Kind, h Handler) { t.handlers[kind] = h }

// HandleNotify registers the handler of a kind of notification; it must be
// called before Run.
func (t *Transport) HandleNotify(kind Kind, h func(from Node, decode func(any) error)) {
	t.notifyHandlers[kind] = h
}

// Run accepts connections on the node's address until ctx is cancelled. All
// goroutines of the transport have ended when it returns. It must be called at
// most once.
func (t *Transport) Run(ctx context.Context) error {
	if len(t.options.Secret) == 0 && t.options.SecretSource == nil {
		return fault.New(fault.Invalid, "peer.run", "", "the shared secret is empty")
	}
	listener, err := t.network.Listen(cmp.Or(t.options.ListenAddress, t.self.Address))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "peer.listen", t.self.Address, "listen")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.runCtx = ctx
	close(t.started)
	t.log.Log(EvListening, "address", listener.Addr().String())
	t.wg.Go(func() { t.acceptLoop(ctx, listener) })
	<-ctx.Done()
	close(t.stopped)
	t.mu.Lock()
	t.closing = true
	t.mu.Unlock()
	_ = listener.Close()
	t.wg.Wait()
	return nil
}

// spawn runs f in a goroutine that Run waits for. It returns false and does not
// start f if the transport is closing.
func (t *Transport) spawn(f func(ctx context.Context)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return false
	}
	t.wg.Go(func() { f(t.runCtx) })
	return true
}

const acceptRetryDelay = 100 * time.Millisecond

func (t *Transport) acceptLoop(ctx context.Context, l net.Listener) {
	for {
		nc, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = nc.Close()
			}
			return
		}
		if err != nil {
			t.log.Log(EvAcceptFailed, "error", err.Error())
			select {
			case <-time.After(acceptRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		if !t.pending.add(nc, time.Now()) {
			_ = nc.Close()
			continue
		}
		if !t.spawn(func(ctx context.Context) { t.serveAccepted(ctx, nc) }) {
			_ = nc.Close()
		}
	}
}

func (t *Transport) serveAccepted(ctx context.Context, nc net.Conn) {
	theirs, err := t.handshake(ctx, nc, t.acceptHandshake)
	t.pending.remove(nc)
	if err != nil {
		return
	}
	t.serveConn(ctx, newConn(t, nc, theirs.node(), theirs.Incarnation, false))
}

// handshake runs side, one of dialHandshake and acceptHandshake, within
// DialTimeout. It closes nc on failure.
func (t *Transport) handshake(ctx context.Context, nc net.Conn, side func(net.Conn) (hello, error)) (hello, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.DialTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	var theirs hello
	err := t.requireSecret()
	if err == nil {
		theirs, err = side(nc)
	}
	if !stop() && err == nil {
		err = fault.Wrap(ctx.Err(), fault.Unavailable, "peer.handshake", theirs.ID, "too late")
	}
	if err != nil {
		_ = nc.Close()
		t.handshakeErrors.Inc(1)
		t.log.Log(EvHandshakeRefused, "peer", fault.Peer(err), "error", err.Error())
	}
	return theirs, err
}

// sharedSecret returns the site's shared secret, nil if it is not known yet.
func (t *Transport) sharedSecret() []byte {
	if len(t.options.Secret) == 0 && t.options.SecretSource != nil {
		return t.options.SecretSource()
	}
	return t.options.Secret
}

// requireSecret fails while the secret is not known. Otherwise two nodes without
// the secret would authenticate each other with an empty one.
func (t *Transport) requireSecret() error {
	if len(t.sharedSecret()) == 0 {
		return fault.New(fault.Unavailable, "peer.handshake", "", "the shared secret is not known yet")
	}
	return nil
}

// serveConn registers the connection, serves it until it ends and unregisters
// it.
func (t *Transport) serveConn(ctx context.Context, c *conn) {
	t.register(c)
	t.connections.Inc(1)
	t.log.Log(EvConnected, "peer", c.remote.ID, "dialled", c.dialled)
	c.run(ctx)
	t.connections.Dec(1)
	lost := ctx.Err() == nil && !c.wasDrained()
	t.unregister(c, lost)
	if lost {
		t.lost.Inc(1)
		t.log.Log(EvLost, "peer", c.remote.ID, "error", c.cause().Error())
	}
}

// dispatchNotify calls the handler of a notification. It takes ownership of
// payload.
func (t *Transport) dispatchNotify(from Node, kind Kind, payload *bytes.Buffer) {
	defer putBuffer(payload)
	h, ok := t.notifyHandlers[kind]
	if !ok {
		t.notifyDropped.Inc(1)
		return
	}
	h(from, func(into any) error {
		err := decode(payload.Bytes(), into)
		if err != nil {
			t.notifyDropped.Inc(1)
			t.log.Log(EvNotifyDropped, "peer", from.ID, "kind", kind.String(), "error", err.Error())
		}
		return err
	})
}
