package exchange

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/peer"
	"buckthornpick/internal/relay"
)

// permitRequest asks for the permission to send one request to a server with a limit.
type permitRequest struct {
	Server string            `msgpack:"s"`
	Known  relay.LimitReport `msgpack:"l"`
}

// permitter returns the entry that permits the requests to a server: the first in
// rendezvous order of all registered entries, so that the servers are spread over them.
func (x *Exchange) permitter(server string) peer.Node {
	score := func(n peer.Node) uint64 { return xxhash.Sum64String(server + "\x00" + n.ID) }
	best := x.self
	for _, node := range x.Entries.Others() {
		if score(node) > score(best) {
			best = node
		}
	}
	return best
}

// RequestPermit implements relay.Peers.
func (x *Exchange) RequestPermit(ctx context.Context, server string, known relay.LimitReport) relay.Permit {
	permitter := x.permitter(server)
	if permitter.ID == x.self.ID {
		return x.Balancer.PermitSend(server, known)
	}
	if x.Transport.IsUnreachable(permitter.ID) {
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
