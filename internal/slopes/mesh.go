package slopes

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/peer"
	"buckthornpick/internal/standin/site"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// maxMeshNodes limits the nodes of a full mesh in one process.
const maxMeshNodes = 100

// meshMeasureTime is long enough for a keepalive ping on every idle connection.
const meshMeasureTime = 16 * time.Second

// measureMesh measures the keepalive traffic and memory of full meshes of idle
// connections against the number of nodes.
func measureMesh(ctx context.Context, o Options, out *Results) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	meters := map[int]*meter{}
	for _, n := range o.Nodes {
		if n > maxMeshNodes {
			continue
		}
		before := liveBytes()
		m, err := startMesh(ctx, &wg, n)
		if err != nil {
			return err
		}
		meters[n] = m
		out.Add("mesh", "full mesh of idle connections: memory per node, network included", "B", "nodes",
			float64(n), (liveBytes()-before)/float64(n))
	}
	was, began := map[int]float64{}, time.Now()
	for n, m := range meters {
		was[n] = peerBytes(m)
	}
	wait.For(ctx, meshMeasureTime)
	seconds := time.Since(began).Seconds()
	for _, n := range slices.Sorted(maps.Keys(meters)) {
		out.Add("mesh", "full mesh of idle connections: bytes to peers per node", "B/s", "nodes",
			float64(n), (peerBytes(meters[n])-was[n])/float64(n)/seconds)
	}
	return nil
}

// startMesh starts n transports and connects every pair.
func startMesh(ctx context.Context, wg *sync.WaitGroup, n int) (*meter, error) {
	m := newMeter(1)
	var nodes []peer.Node
	var transports []*peer.Transport
	for i := range n {
		id := fmt.Sprintf("entry-%d", i)
		self := peer.Node{ID: id, Zone: zoneName(i), Address: id + peerPort}
		t := peer.New(self, m.Host(id, self.Zone), telemetry.Discard(), metrics.NewRegistry(),
			peer.Options{Secret: []byte(site.Secret)})
		t.HandleNotify(peer.Gossip, func(peer.Node, func(any) error) {})
		wg.Go(func() { _ = t.Run(ctx) })
		nodes, transports = append(nodes, self), append(transports, t)
	}
	wait.For(ctx, settleTime/10)
	for i, t := range transports {
		for _, to := range nodes[i+1:] {
			if err := t.Notify(to, peer.Gossip, "hello"); err != nil {
				return nil, err
			}
		}
	}
	wait.For(ctx, settleTime)
	return m, nil
}

// peerBytes returns the bytes that all entries have written to each other.
func peerBytes(m *meter) float64 {
	sum := 0.0
	for _, r := range m.readings(entryPrefix) {
		sum += r.peer
	}
	return sum
}
