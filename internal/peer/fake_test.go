package peer

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/telemetry"
)

// pipeNet is an in-memory network of net.Pipe connections, all of which can be
// broken at once.
type pipeNet struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	conns     []net.Conn
	dials     int
}

func newPipeNet() *pipeNet { return &pipeNet{listeners: map[string]*pipeListener{}} }

type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *pipeNet) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

func (n *pipeNet) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.dials++
	n.mu.Unlock()
	if l == nil {
		return nil, fault.New(fault.Unavailable, "dial", address, "refused")
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, near, far)
	return near, nil
}

// breakConnections closes all connections; new ones can be dialled.
func (n *pipeNet) breakConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
}

func (n *pipeNet) dialCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

var (
	nodeA = Node{ID: "a", Zone: "z1", Address: "a:1"}
	nodeB = Node{ID: "b", Zone: "z1", Address: "b:1"}
)

func testOptions() Options { return Options{Secret: []byte("secret"), Window: 4} }

func newTransport(self Node, n *pipeNet, o Options) *Transport {
	return New(self, n, telemetry.Discard(), metrics.NewRegistry(), o)
}

// start runs the transports until the test ends. It returns once they are
// running.
func start(t testing.TB, transports ...*Transport) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, tr := range transports {
		wg.Go(func() {
			if err := tr.Run(ctx); err != nil {
				t.Errorf("Run: %v", err)
			}
		})
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	for _, tr := range transports {
		<-tr.started
	}
}
