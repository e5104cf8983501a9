package exchange

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/peer"
	"buckthornpick/internal/relay"
)

// lapsedGrace is how long an entry counts after its registration has lapsed: the time in
// which entries register again after an outage of the store.
const lapsedGrace = 4 * time.Second

// placeMessage gives a place at a brittle server back.
type placeMessage struct {
	Server      string `msgpack:"s"`
	Incarnation int64  `msgpack:"i,omitempty"`
}

// permitter returns the entry that permits the requests to a server: the first in
// rendezvous order of the entries of the site, so that the servers are spread over them.
// Entries that have lost their registration count for lapsedGrace, since many may
// lose it at once and must not all take themselves for the first; isReachable is false
// for such an entry.
func (x *Exchange) permitter(server string) (node peer.Node, isReachable bool) {
	score := func(id string) uint64 { return xxhash.Sum64String(server + "\x00" + id) }
	best, bestScore := x.self, score(x.self.ID)
	others := x.Entries.Others()
	for _, n := range others {
		if s := score(n.ID); s > bestScore {
			best, bestScore = n, s
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	isReachable = true
	for _, id := range x.tracker.unregistered(x.Clock(), lapsedGrace, others) {
		if s := score(id); s > bestScore {
			best, bestScore, isReachable = peer.Node{ID: id}, s, false
		}
	}
	return best, isReachable && !x.Transport.IsUnreachable(best.ID)
}

// RequestPermit implements relay.Peers.
func (x *Exchange) RequestPermit(ctx context.Context, request relay.PermitRequest) relay.Permit {
	permitter, isReachable := x.permitter(request.Server)
	if permitter.ID == x.self.ID {
		return x.Balancer.PermitSend(x.self.ID, request)
	}
	if !isReachable {
		return relay.NoPermit(request.Known)
	}
	permit, err := peer.Call[relay.Permit](ctx, x.Transport, permitter, peer.RelayPermit, request)
	if err != nil {
		return relay.NoPermit(request.Known)
	}
	return permit
}

func (x *Exchange) servePermit(_ context.Context, from peer.Node, request relay.PermitRequest) (relay.Permit, error) {
	return x.Balancer.PermitSend(from.ID, request), nil
}

// ReturnPlace implements relay.Peers. A place that is not given back is free again at the
// deadline of its request.
func (x *Exchange) ReturnPlace(server string, incarnation int64) {
	permitter, isReachable := x.permitter(server)
	if permitter.ID == x.self.ID {
		x.Balancer.FreePlace(x.self.ID, server, incarnation)
	} else if isReachable {
		x.send(permitter, peer.RelayPlace, placeMessage{server, incarnation})
	}
}

func (x *Exchange) receivePlace(from peer.Node, decode func(any) error) {
	var m placeMessage
	if decode(&m) == nil {
		x.Balancer.FreePlace(from.ID, m.Server, m.Incarnation)
	}
}

// mergeLimits merges the limits of servers that another entry knows.
func (x *Exchange) mergeLimits(from peer.Node, reports map[string]relay.LimitReport) {
	for server, r := range x.Balancer.MergeLimits(reports) {
		x.Log.Log(relay.EvServerLimitChanged, "server", server, "is_limited", r.IsNamed, "per_second", r.PerSecond, "told_by", from.ID)
	}
}

// NotifyBrittle implements relay.Peers.
func (x *Exchange) NotifyBrittle(n relay.BrittleNotice) {
	x.propagate(peer.RelayBrittle, n, peer.Node{})
}

func (x *Exchange) receiveBrittle(from peer.Node, decode func(any) error) {
	var n relay.BrittleNotice
	if decode(&n) != nil || !x.Balancer.MergeBrittle(n) {
		return
	}
	x.Log.Log(relay.EvBrittlenessChanged, "service", n.Service, "server", n.Server, "is_brittle", true, "max_turned_away", n.MaxTurnedAway,
		"turned_away", n.Server != "", "told_by", from.ID)
	x.propagate(peer.RelayBrittle, n, from)
}

// learnBrittle takes over which services are brittle from the first message of another entry.
// Later on notices tell.
func (x *Exchange) learnBrittle(services map[string]float64) {
	x.mu.Lock()
	isStarting := len(x.tracker.states) == 0
	x.mu.Unlock()
	if !isStarting {
		return
	}
	for service, most := range services {
		x.Balancer.MergeBrittle(relay.BrittleNotice{Service: service, MaxTurnedAway: most})
	}
}
