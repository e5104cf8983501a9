package claim

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
	"buckthornpick/internal/telemetry"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const (
	tableKey     = "table"
	storeLatency = 2 * time.Millisecond
)

// fakeStore is an in-memory store. Each node accesses it through a nodeStore,
// which injects that node's faults.
type fakeStore struct {
	kv.Store   // leases and watches are not used
	mu         sync.Mutex
	revision   int64
	entries    map[string]kv.Entry
	txns       int
	onApplied  func(op kv.Op) // called under mu for each put that takes effect
	lateWrites sync.WaitGroup
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]kv.Entry{}} }

func (s *fakeStore) apply(guards []kv.Compare, ops []kv.Op) kv.TxnResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txns++
	for _, g := range guards {
		if s.entries[g.Key].ModRevision != g.ModRevision {
			return kv.TxnResult{Revision: s.revision}
		}
	}
	s.revision++
	for _, op := range ops {
		if op.Delete {
			delete(s.entries, op.Key)
			continue
		}
		s.entries[op.Key] = kv.Entry{Key: op.Key, Value: op.Value, ModRevision: s.revision}
		if s.onApplied != nil {
			s.onApplied(op)
		}
	}
	return kv.TxnResult{Succeeded: true, Revision: s.revision}
}

func (s *fakeStore) list(prefix string) kv.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := kv.Snapshot{Revision: s.revision}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			snap.Entries = append(snap.Entries, e)
		}
	}
	sort.Slice(snap.Entries, func(i, j int) bool { return snap.Entries[i].Key < snap.Entries[j].Key })
	return snap
}

// nodeStore is one node's client of the store, with fault injection.
type nodeStore struct {
	*fakeStore
	mu             sync.Mutex
	down           bool
	loseAnswers    int           // number of next writes that take effect but whose response is lost
	delayNextWrite time.Duration // if set, the next write takes effect this much later and its response is lost
	unpaused       chan struct{} // closed when the node resumes; nil if it is not paused
	staleList      *kv.Snapshot  // if set, List returns this old snapshot
}

func (v *nodeStore) set(f func(*nodeStore)) { v.mu.Lock(); defer v.mu.Unlock(); f(v) }

// awaitAccess waits for the store latency and, if the node is paused, until it
// resumes. It returns an error if the store is down for the node.
func (v *nodeStore) awaitAccess() error {
	time.Sleep(storeLatency)
	v.mu.Lock()
	gate := v.unpaused
	v.mu.Unlock()
	if gate != nil {
		<-gate
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down {
		return fault.New(fault.Unavailable, "fake", "store", "down")
	}
	return nil
}

func (v *nodeStore) Get(_ context.Context, key string) (kv.Entry, bool, error) {
	if err := v.awaitAccess(); err != nil {
		return kv.Entry{}, false, err
	}
	v.fakeStore.mu.Lock()
	defer v.fakeStore.mu.Unlock()
	e, ok := v.entries[key]
	return e, ok, nil
}

func (v *nodeStore) List(_ context.Context, prefix string) (kv.Snapshot, error) {
	if err := v.awaitAccess(); err != nil {
		return kv.Snapshot{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.staleList != nil {
		return *v.staleList, nil
	}
	return v.list(prefix), nil
}

func (v *nodeStore) Txn(ctx context.Context, guards []kv.Compare, ops []kv.Op) (kv.TxnResult, error) {
	if err := v.awaitAccess(); err != nil {
		return kv.TxnResult{}, err
	}
	lost := fault.New(fault.Ambiguous, "fake", "store", "answer lost")
	v.mu.Lock()
	late, lose := v.delayNextWrite, v.loseAnswers > 0
	v.delayNextWrite = 0
	v.loseAnswers = max(v.loseAnswers-1, 0)
	v.mu.Unlock()
	if late > 0 {
		v.lateWrites.Go(func() { time.Sleep(late); v.apply(guards, ops) })
		return kv.TxnResult{}, lost
	}
	res := v.apply(guards, ops)
	if lose || ctx.Err() != nil {
		return kv.TxnResult{}, lost
	}
	return res, nil
}

// site is a set of nodes with ledgers that share one store and an in-memory
// network.
type site struct {
	store *fakeStore
	net   *memNet
	nodes []*node
	stop  func()

	mu     sync.Mutex
	table  int64
	owners map[int]int // partition to node index, according to the current table
}

type node struct {
	OwnershipTracker
	*Ledger
	self      peer.Node
	nodeStore *nodeStore
	mu        sync.Mutex
	writer    *peer.Node
}

func (n *node) TableKey() string { return tableKey }
func (n *node) Writer() (peer.Node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.writer == nil {
		return peer.Node{}, false
	}
	return *n.writer, true
}

func (n *node) setWriter(w *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writer = nil
	if w != nil {
		n.writer = &w.self
	}
}

func newSite(nodes int, cfg Config) *site {
	s := &site{store: newFakeStore(), net: &memNet{listeners: map[string]*memListener{}}, owners: map[int]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range nodes {
		id := fmt.Sprint("n", i)
		n := &node{self: peer.Node{ID: id, Zone: "z", Address: id + ":1"}, nodeStore: &nodeStore{fakeStore: s.store}}
		log, registry := telemetry.Discard(), metrics.NewRegistry()
		t := peer.New(n.self, s.net, log, registry, peer.Options{Secret: []byte("s")})
		n.Ledger = New(cfg, n, n.nodeStore, t, log, registry)
		s.nodes = append(s.nodes, n)
		wg.Go(func() { _ = t.Run(ctx) })
		wg.Go(func() { _ = n.Run(ctx) })
	}
	time.Sleep(time.Millisecond) // virtual time; all nodes are listening then
	s.stop = func() {
		for _, n := range s.nodes {
			s.pause(n, false)
		}
		cancel()
		wg.Wait()
		s.store.lateWrites.Wait()
	}
	return s
}

// assign writes a new table, in which owner owns the partition, and delivers it
// to the given nodes only.
func (s *site) assign(partition, owner int, to ...*node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := s.store.apply(nil, []kv.Op{kv.Put(tableKey, nil)})
	previous := s.table
	s.table = res.Revision
	s.owners[partition] = owner
	for _, n := range to {
		s.deliver(n, previous)
	}
}

func (s *site) deliver(n *node, previous int64) {
	n.Observe(s.table, previous, func(p int) bool {
		owner, ok := s.owners[p]
		return ok && s.nodes[owner] == n
	})
}

func (s *site) pause(n *node, on bool) {
	n.nodeStore.set(func(v *nodeStore) {
		switch {
		case on && v.unpaused == nil:
			v.unpaused = make(chan struct{})
		case !on && v.unpaused != nil:
			close(v.unpaused)
			v.unpaused = nil
		}
	})
}

// claim returns the first claim of a request by this node. serial makes the
// attempt ID unique.
func (n *node) claim(id request.ID, serial int) Claim {
	return Claim{Request: id, Organisation: "org", Service: "rewrite", Owner: n.self.ID, Incarnation: 1, Number: 1,
		Target: backend.Target{ID: "e1", Address: "10.0.0.1:80", Class: backend.Engine}, Attempt: backend.AttemptID(fmt.Sprint(id, ".", serial))}
}

func testID(partition, n int) request.ID { return request.ID(fmt.Sprintf("%04x%028x", partition, n)) }

// memNet is an in-memory network with net.Pipe connections.
type memNet struct {
	mu            sync.Mutex
	listeners     map[string]*memListener
	isPartitioned bool
	conns         []net.Conn
}

// setPartitioned starts or ends a network partition, during which dials are
// refused. Either way it closes the open connections.
func (n *memNet) setPartitioned(isPartitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isPartitioned = isPartitioned
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.conns = nil
}

type memListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *memListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *memListener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *memNet) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

func (n *memNet) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, isPartitioned := n.listeners[address], n.isPartitioned
	n.mu.Unlock()
	if l == nil || isPartitioned {
		return nil, fault.New(fault.Unavailable, "dial", address, "refused")
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, near)
		return near, nil
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
