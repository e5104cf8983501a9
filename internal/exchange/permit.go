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

// permitRequest asks for the permission to send one request to a server with a limit.
type permitRequest struct {
	Server string            `msgpack:"s"`
	Known  relay.LimitReport `msgpack:"l"`
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
func (x *Exchange) RequestPermit(ctx context.Context, server string, known relay.LimitReport) relay.Permit {
	permitter, isReachable := x.permitter(server)
	if permitter.ID == x.self.ID {
		return x.Balancer.PermitSend(server, known)
	}
	if !isReachable {
		return relay.NoPermit(known)
	}
	permit, err := peer.Call[relay.Permit](ctx, x.Transport, permitter, peer.RelayPermit, permitRequest{server, known})
	if err != nil {
		return relay.NoPermit(known)
	}
	return permit
}

func (x *Exchange) servePermit(_ context.Context, _ peer.Node, request permitRequest) (relay.Permit, error) {
	return x.Balancer.PermitSend(request.Server, request.Known), nil
}

// mergeLimits merges the limits of servers that another entry knows.
func (x *Exchange) mergeLimits(from peer.Node, reports map[string]relay.LimitReport) {
	for server, r := range x.Balancer.MergeLimits(reports) {
		x.Log.Log(relay.EvServerLimitChanged, "server", server, "is_limited", r.IsNamed, "per_second", r.PerSecond, "told_by", from.ID)
	}
}
