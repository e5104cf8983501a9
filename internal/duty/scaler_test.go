package duty

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/config"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/lease"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/standin/memnet"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/upstream"
)

// orderingCloud records orders of servers.
type orderingCloud struct {
	Cloud
	mu     sync.Mutex
	orders []ServerOrder
}

func (c *orderingCloud) OrderServers(_ context.Context, _ int64, o ServerOrder) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
	return nil
}

// steadyDemand is the load that other entries tell of.
type steadyDemand struct{}

func (steadyDemand) PrefillStatsByEntry(string) map[string]relay.PrefillStats {
	return map[string]relay.PrefillStats{"other": {TokensPerSecond: 1000, Tokens: 1000 * clock.Virtual().Seconds()}}
}

// Guards against an order that removes most of the servers: a holder that took the duty over
// before it had read the registered servers, and could not since the store went away, took
// the number of ready ones for zero.
func TestServersAreNotOrderedBeforeTheRegisteredOnesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const registered = 6
		document := &config.Document{Services: []config.Service{{
			Name: "app", Scaling: &config.Scaling{Min: 1, Max: 12, BootSeconds: 4, ZonePrices: map[string]float64{"z": 1}},
		}}}
		log := telemetry.Discard()
		documents := follow.NewDocuments("doc", func([]byte) (*config.Document, error) { return document, nil }, log, nil)
		documents.SetFollower(follow.New(follow.Options{}, nil, documents, clock.Virtual, log))
		documents.Replace([]kv.Entry{{Key: "doc"}})
		balancer := relay.NewBalancer("a", "z", clock.Virtual, upstream.NewPool(memnet.New(1).Host("a", "z"), metrics.NewRegistry()))
		cloud := &orderingCloud{}
		var areServersKnown atomic.Bool
		l := lease.New(lease.Config{Key: "duty", Holder: "a", TTL: testLeaseTTL, StandbyInterval: time.Second}, &storeClient{store: newRestorableStore()}, log)
		scaler := NewScaler(ScalerConfig{
			Lease: l, Cloud: cloud, Documents: documents, Balancer: balancer, Demand: steadyDemand{},
			AreServersKnown: areServersKnown.Load, Clock: clock.Virtual, Log: log,
		})
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		defer g.Wait()
		defer cancel()
		g.Go(func() { _ = l.Run(ctx) })
		g.Go(func() { _ = scaler.Run(ctx) })
		time.Sleep(2 * time.Second)
		list := []follow.Server{}
		for i := range registered {
			list = append(list, follow.Server{ID: string(rune('a' + i)), Service: "app", Zone: "z", Slots: 8})
		}
		balancer.SetServers(list)
		areServersKnown.Store(true)
		time.Sleep(2 * time.Second)
		cloud.mu.Lock()
		defer cloud.mu.Unlock()
		for _, o := range cloud.orders {
			require.GreaterOrEqual(t, o.Count, registered, "the load is not known for long enough to remove servers")
		}
	})
}
