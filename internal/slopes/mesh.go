package slopes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/peer"
	"buckthornpick/internal/standin/site"
	"buckthornpick/internal/telemetry"
)

// largestMesh bounds the nodes of a full mesh in one process.
const largestMesh = 100

// measureMesh measures the keepalive of a full mesh of idle connections.
func measureMesh(ctx context.Context, o Options, out *Results) error {
	for _, n := range o.Nodes {
		if n > largestMesh {
			continue
		}
		if err := measureMeshAt(ctx, n, out); err != nil {
			return err
		}
	}
	return nil
}

func measureMeshAt(ctx context.Context, n int, out *Results) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	m := newMeter(1)
	before := liveBytes()
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
	pause(ctx, settle/10)
	for i, t := range transports {
		for _, to := range nodes[i+1:] {
			if err := t.Notify(to, peer.Gossip, "hello"); err != nil {
				return err
			}
		}
	}
	pause(ctx, settle)
	was, cpu, began := sumPeer(m), processorTime(), time.Now()
	pause(ctx, idle)
	seconds, x := time.Since(began).Seconds(), float64(n)
	out.Add("mesh", "full mesh of idle connections: bytes to peers per node", "B/s", "nodes", x, (sumPeer(m)-was)/x/seconds)
	out.Add("mesh", "full mesh of idle connections: processor time per node", "share of a core", "nodes", x, (processorTime()-cpu).Seconds()/x/seconds)
	out.Add("mesh", "full mesh of idle connections: memory per node, network included", "B", "nodes", x, (liveBytes()-before)/x)
	return nil
}

func sumPeer(m *meter) float64 {
	sum := 0.0
	for _, r := range m.readings(entryPrefix) {
		sum += r.peer
	}
	return sum
}
