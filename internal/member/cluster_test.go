package member

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/kv/etcd"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/memnet"
	"buckthornpick/internal/telemetry"

	standin "buckthornpick/internal/standin/kv"
)

// settleTime is longer than a lease, a poll interval and the joins of all nodes.
const settleTime = time.Minute

// cluster is a store and a set of nodes on one in-memory network.
type cluster struct {
	t      *testing.T
	net    *memnet.Network
	server *standin.Server
	nodes  map[string]*node
}

type node struct {
	*Membership
	cancel context.CancelFunc
	done   chan struct{}
	client *http.Client
}

// runCluster calls f with an empty cluster in virtual time and shuts it down
// afterwards.
func runCluster(t *testing.T, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, net: memnet.New(7), server: standin.New(7), nodes: map[string]*node{}}
		c.net.SetLatency(time.Millisecond, time.Millisecond)
		l, err := c.net.Host("kv", "z0").Listen("kv:1")
		require.NoError(t, err)
		httpServer := &http.Server{Handler: c.server}
		go httpServer.Serve(l)
		ctx, cancel := context.WithCancel(t.Context())
		go c.server.Run(ctx)
		defer func() {
			for id := range c.nodes {
				c.stop(id)
			}
			cancel()
			httpServer.Close()
			time.Sleep(settleTime) // lets delayed calls finish
		}()
		f(t, c)
	})
}

// start runs node e<i> (two digits) in zone z<i mod 3>.
func (c *cluster) start(i int) *node {
	id, zone := fmt.Sprintf("e%02d", i), fmt.Sprintf("z%d", i%3)
	client := netx.HTTPClient(c.net.Host(id, zone), netx.HTTPOptions{})
	reg := metrics.NewRegistry()
	store := etcd.New(etcd.Config{Endpoint: "http://kv:1"}, client, reg)
	self := Member{ID: id, Zone: zone, Address: id + ":1", HTTPAddress: id + ":2"}
	m := New(Config{Self: self}, store, telemetry.Discard(), reg)
	ctx, cancel := context.WithCancel(c.t.Context())
	n := &node{Membership: m, cancel: cancel, done: make(chan struct{}), client: client}
	go func() { defer close(n.done); _ = m.Run(ctx) }()
	c.nodes[id] = n
	return n
}

func (c *cluster) startAll(count int) {
	for i := range count {
		c.start(i)
	}
	time.Sleep(settleTime)
}

// stop ends a node's process without leaving the table.
func (c *cluster) stop(id string) {
	n := c.nodes[id]
	n.cancel()
	<-n.done
	n.client.CloseIdleConnections()
	delete(c.nodes, id)
}

// currentIncarnation returns the node's incarnation.
func (n *node) currentIncarnation() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

// crash simulates the crash of a node's host and process.
func (c *cluster) crash(id string) {
	c.net.KillHost(id)
	c.stop(id)
}

// storedTable returns the table in the store, read directly without the network
// and without injected faults.
func (c *cluster) storedTable() Table {
	c.t.Helper()
	value, revision := c.server.Peek(tableKey)
	if revision == 0 {
		return Table{}
	}
	t, err := decodeTable(value, revision)
	require.NoError(c.t, err)
	return t
}

// requireAgreement checks that the stored table has count members, and that all
// nodes have this table, hold their leases and are listed in it.
func (c *cluster) requireAgreement(count int) Table {
	c.t.Helper()
	want := c.storedTable()
	require.Len(c.t, want.Members, count)
	for id, n := range c.nodes {
		require.Equal(c.t, want.Revision, n.Table().Revision, id)
		require.True(c.t, n.LeaseValid(), id)
		self, ok := n.Table().Find(id)
		require.True(c.t, ok, id)
		require.Equal(c.t, n.currentIncarnation(), self.Incarnation, id)
	}
	return want
}

// tableHistory returns every table that the store held, oldest first.
func (c *cluster) tableHistory(n *node) []Table {
	c.t.Helper()
	ctx, cancel := context.WithCancel(c.t.Context())
	batches, err := n.store.Watch(ctx, tableKey, 0)
	require.NoError(c.t, err)
	defer drainWatch(batches)
	defer cancel()
	var tables []Table
	for last := c.storedTable().Revision; len(tables) == 0 || tables[len(tables)-1].Revision < last; {
		for _, e := range (<-batches).Events {
			t, err := decodeTable(e.Entry.Value, e.Entry.ModRevision)
			require.NoError(c.t, err)
			tables = append(tables, t)
		}
	}
	return tables
}
