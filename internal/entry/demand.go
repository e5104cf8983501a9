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
	// demandInterval is the interval at which a zone's demand is summed.
	demandInterval = 2 * time.Second
	// demandRefresh is the time after which an unchanged sum is written again.
	demandRefresh = 10 * time.Second
	// demandTimeout bounds the call to one member.
	demandTimeout = time.Second
	// demandChangeRatio is the relative change from which a sum is written without
	// waiting for demandRefresh.
	demandChangeRatio = 0.1
	// maxDemandCalls bounds the concurrent calls to members.
	maxDemandCalls = 16
)

// demandMsg asks a member for its demand.
type demandMsg struct{}

// demandReply holds a member's demand: the number of its running and queued
// requests, by service.
type demandReply struct {
	Requests map[string]int `msgpack:"r"`
}

// serveDemand handles peer.DemandPull.
func (n *Node) serveDemand(context.Context, peer.Node, demandMsg) (demandReply, error) {
	return demandReply{Requests: n.admitter.Demand()}, nil
}

// reportDemand writes the zone's demand to the store for the planners, and reads
// which VMs they are draining. Only the first-ranked member of each zone does this,
// to limit the calls to the store.
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
		n.readDrainingVMs(ctx)
	}
	return nil
}

// zoneDemand returns the sum of the demand of the zone's members, by service. A
// member that does not answer counts as 0.
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
	g.SetLimit(maxDemandCalls)
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

// demandChanged reports whether a sum has to be written.
func demandChanged(last, now fleet.ZoneDemand) bool {
	if now.At.Sub(last.At) >= demandRefresh || len(now.Requests) != len(last.Requests) {
		return true
	}
	for service, count := range now.Requests {
		if math.Abs(count-last.Requests[service]) > max(1, demandChangeRatio*last.Requests[service]) {
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

// drainingVMs holds the IDs of the VMs that the planners are draining. The version
// is the store revision of the last change that was read.
//
// Lock order: mu before the lock of the pools.
type drainingVMs struct {
	mu      sync.Mutex
	version int64
	ids     []string
}

// drainingVMsMsg is the encoding of drainingVMs between nodes.
type drainingVMsMsg struct {
	Version int64    `msgpack:"v"`
	IDs     []string `msgpack:"i"`
}

// readDrainingVMs reads from the store which VMs the planners are draining, and has
// the spreader distribute them to the other nodes. If the store cannot be read, the
// last known list stays in force.
func (n *Node) readDrainingVMs(ctx context.Context) {
	states, err := n.cfg.Store.List(ctx, fleet.StatePrefix)
	if err != nil {
		return
	}
	var m drainingVMsMsg
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
	if n.applyDrainingVMs(m) {
		n.spreader.NotifyChanged()
	}
}

// applyDrainingVMs puts a newer list in force. It reports whether the list was
// newer.
func (n *Node) applyDrainingVMs(m drainingVMsMsg) bool {
	if !n.updateDrainingVMs(m) {
		return false
	}
	if doc, ok := n.Document(); ok {
		n.applyCapacity(doc)
	}
	return true
}

// updateDrainingVMs stores a newer list and passes it to the pools.
func (n *Node) updateDrainingVMs(m drainingVMsMsg) bool {
	n.drainingVMs.mu.Lock()
	defer n.drainingVMs.mu.Unlock()
	if m.Version <= n.drainingVMs.version {
		return false
	}
	differs := !slices.Equal(m.IDs, n.drainingVMs.ids)
	n.drainingVMs.version, n.drainingVMs.ids = m.Version, m.IDs
	if differs {
		n.pools.SetDraining(time.Now(), m.IDs)
	}
	return true
}

// drainingVMsTopic distributes drainingVMs between nodes.
type drainingVMsTopic struct{ node *Node }

// Version implements spread.Topic.
func (t drainingVMsTopic) Version() int64 {
	t.node.drainingVMs.mu.Lock()
	defer t.node.drainingVMs.mu.Unlock()
	return t.node.drainingVMs.version
}

// Encode implements spread.Topic.
func (t drainingVMsTopic) Encode() ([]byte, int64, error) {
	t.node.drainingVMs.mu.Lock()
	defer t.node.drainingVMs.mu.Unlock()
	m := drainingVMsMsg{Version: t.node.drainingVMs.version, IDs: t.node.drainingVMs.ids}
	value, err := msgpack.Marshal(m)
	return value, m.Version, err
}

// Merge implements spread.Topic.
func (t drainingVMsTopic) Merge(value []byte) (bool, error) {
	var m drainingVMsMsg
	if err := msgpack.Unmarshal(value, &m); err != nil {
		return false, err
	}
	return t.node.applyDrainingVMs(m), nil
}
