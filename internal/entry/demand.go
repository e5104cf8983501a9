package entry

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/fleet"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/member"
	"buckthornpick/internal/peer"
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
		pause(ctx, demandInterval)
		if rankInZone(n.members.Table(), n.cfg.Self.ID) != 0 {
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

// followDrains reads which VMs the planners drain; peers pass them on with the
// view of the site. Without the store the last ones stand.
func (n *Node) followDrains(ctx context.Context) {
	states, err := n.cfg.Store.List(ctx, fleet.StatePrefix)
	if err != nil {
		return
	}
	draining := map[string]bool{}
	for _, e := range states.Entries {
		var state fleet.ZoneState
		if json.Unmarshal(e.Value, &state) != nil {
			return
		}
		for _, d := range state.Draining {
			draining[d.VM] = true
		}
	}
	n.inventory.SetDraining(draining)
}
