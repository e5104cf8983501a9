package entry

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/fleet"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/member"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/wait"
)

const (
	// demandInterval is the time between sums of a zone's load.
	demandInterval = 2 * time.Second
	// demandRefresh is the time after which an unchanged sum is written again.
	demandRefresh = 10 * time.Second
	// demandTimeout bounds the answer of one member.
	demandTimeout = time.Second
	// demandStep is the relative change that is written at once.
	demandStep = 0.1
	// demandCalls bounds the members asked at one time.
	demandCalls = 16
)

// demandMsg asks a member for its load.
type demandMsg struct{}

// demandReply holds the requests that run or wait at a member, by service.
type demandReply struct {
	Requests map[string]int `msgpack:"r"`
}

func (n *Node) serveDemand(context.Context, peer.Node, demandMsg) (demandReply, error) {
	return demandReply{Requests: n.admitter.Demand()}, nil
}

// reportDemand writes the zone's load for the planners and reads which VMs they
// drain, while this node is the zone's lowest-ranked member. It is the only one
// of its zone that calls the store for the planners' sake.
func (n *Node) reportDemand(ctx context.Context) error {
	var last fleet.ZoneDemand
	for ctx.Err() == nil {
		wait.For(ctx, demandInterval)
		if rankInZone(n.members.Table(), n.cfg.Self.ID, n.transport.IsUnreachable) != 0 {
			last = fleet.ZoneDemand{}
			continue
		}
		now := fleet.ZoneDemand{At: time.Now(), Requests: n.zoneDemand(ctx)}
		if demandChanged(last, now) && n.writeDemand(ctx, now) == nil {
			last = now
		}
		n.followDrains(ctx)
	}
	return nil
}

// zoneDemand sums the loads of the zone's members. One that does not answer
// counts nothing.
func (n *Node) zoneDemand(ctx context.Context) map[string]float64 {
	var mu sync.Mutex
	sum := map[string]float64{}
	add := func(requests map[string]int) {
		mu.Lock()
		defer mu.Unlock()
		for service, count := range requests {
			sum[service] += float64(count)
		}
	}
	add(n.admitter.Demand())
	var g errgroup.Group
	g.SetLimit(demandCalls)
	for _, m := range n.members.Table().Members {
		if m.Zone == n.cfg.Self.Zone && m.ID != n.cfg.Self.ID {
			g.Go(func() error {
				add(n.memberDemand(ctx, m))
				return nil
			})
		}
	}
	_ = g.Wait() // the functions return no error
	return sum
}

func (n *Node) memberDemand(ctx context.Context, m member.Member) map[string]int {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	reply, err := peer.Call[demandReply](ctx, n.transport, nodeOf(m), peer.DemandPull, demandMsg{})
	if err != nil {
		return nil
	}
	return reply.Requests
}

// demandChanged reports whether a sum is worth a write.
func demandChanged(last, now fleet.ZoneDemand) bool {
	if now.At.Sub(last.At) >= demandRefresh || len(now.Requests) != len(last.Requests) {
		return true
	}
	for service, count := range now.Requests {
		if math.Abs(count-last.Requests[service]) > max(1, demandStep*last.Requests[service]) {
			return true
		}
	}
	return false
}

func (n *Node) writeDemand(ctx context.Context, d fleet.ZoneDemand) error {
	value, err := json.Marshal(d)
	if err != nil {
		return err
	}
	_, err = n.cfg.Store.Txn(ctx, nil, []kv.Op{kv.Put(fleet.DemandPrefix+n.cfg.Self.Zone, value)})
	return err
}

// drains are the VMs that the planners drain. The version is the store's
// revision of the last change that was read.
//
// Lock order: mu before the pools' own.
type drains struct {
	mu      sync.Mutex
	version int64
	ids     []string
}

// drainsMsg is what nodes pass on of drains.
type drainsMsg struct {
	Version int64    `msgpack:"v"`
	IDs     []string `msgpack:"i"`
}

// followDrains reads which VMs the planners drain; peers pass them on. Without
// the store the last ones stand.
func (n *Node) followDrains(ctx context.Context) {
	states, err := n.cfg.Store.List(ctx, fleet.StatePrefix)
	if err != nil {
		return
	}
	var m drainsMsg
	for _, e := range states.Entries {
		var state fleet.ZoneState
		if json.Unmarshal(e.Value, &state) != nil {
			return
		}
		m.Version = max(m.Version, e.ModRevision)
		for _, d := range state.Draining {
			m.IDs = append(m.IDs, d.VM)
		}
	}
	if n.observeDrains(m) {
		n.spreader.Changed()
	}
}

// observeDrains puts later drains in force and reports whether they are.
func (n *Node) observeDrains(m drainsMsg) bool {
	if !n.takeDrains(m) {
		return false
	}
	if doc, ok := n.Document(); ok {
		n.applyCapacity(doc)
	}
	return true
}

func (n *Node) takeDrains(m drainsMsg) bool {
	n.drains.mu.Lock()
	defer n.drains.mu.Unlock()
	if m.Version <= n.drains.version {
		return false
	}
	differs := !slices.Equal(m.IDs, n.drains.ids)
	n.drains.version, n.drains.ids = m.Version, m.IDs
	if differs {
		n.pools.SetDraining(time.Now(), m.IDs)
	}
	return true
}

// drainsTopic spreads the drains.
type drainsTopic struct{ node *Node }

// Version implements spread.Topic.
func (t drainsTopic) Version() int64 {
	t.node.drains.mu.Lock()
	defer t.node.drains.mu.Unlock()
	return t.node.drains.version
}

// Encode implements spread.Topic.
func (t drainsTopic) Encode() ([]byte, int64, error) {
	t.node.drains.mu.Lock()
	defer t.node.drains.mu.Unlock()
	m := drainsMsg{Version: t.node.drains.version, IDs: t.node.drains.ids}
	value, err := msgpack.Marshal(m)
	return value, m.Version, err
}

// Observe implements spread.Topic.
func (t drainsTopic) Observe(value []byte) (bool, error) {
	var m drainsMsg
	if err := msgpack.Unmarshal(value, &m); err != nil {
		return false, err
	}
	return t.node.observeDrains(m), nil
}
