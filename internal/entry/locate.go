package entry

import (
	"context"
	"slices"
	"time"

	"buckthornpick/internal/member"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
)

const (
	// locateTimeout bounds the question to one node.
	locateTimeout = 500 * time.Millisecond
	// locateHops is how many changes of ownership back a record is looked for
	// beyond the tables that this node has seen.
	locateHops = 2
)

// openAtEarlierOwner follows a request that an earlier owner of its partition
// still has.
func (n *Node) openAtEarlierOwner(ctx context.Context, m attachMsg) (source, request.Info, bool) {
	at, ok := n.locate(ctx, m.ID, locateHops)
	if !ok {
		return nil, request.Info{}, false
	}
	m.IsLocal = true
	s, info, err := n.openRemote(ctx, at, peer.Attach, m)
	return s, info, err == nil
}

// locate asks the earlier owners of the request's partition for its record.
// They ask further with one hop less.
func (n *Node) locate(ctx context.Context, id request.ID, hops int) (peer.Node, bool) {
	for _, earlier := range n.earlierOwners(id.Partition()) {
		reply, err := n.askWhere(ctx, earlier, locateMsg{ID: id, Hops: hops - 1})
		if err == nil && reply.Found && reply.At.ID != n.cfg.Self.ID {
			return reply.At, true
		}
	}
	return peer.Node{}, false
}

func (n *Node) askWhere(ctx context.Context, to peer.Node, m locateMsg) (locateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	return peer.Call[locateReply](ctx, n.transport, to, peer.Locate, m)
}

// serveLocate answers whether this node has a record, or knows who does.
func (n *Node) serveLocate(ctx context.Context, _ peer.Node, m locateMsg) (locateReply, error) {
	if _, ok := n.owner.Find(m.ID); ok {
		return locateReply{Found: true, At: nodeOf(n.cfg.Self)}, nil
	}
	if m.Hops <= 0 || !m.ID.Valid() {
		return locateReply{}, nil
	}
	at, ok := n.locate(ctx, m.ID, m.Hops)
	return locateReply{Found: ok, At: at}, nil
}

// earlierOwners returns the other nodes that owned the partition by this table
// or earlier ones, latest first, without those known to be unreachable. A node
// that has not seen the earlier tables adds those that would own the partition
// without it.
func (n *Node) earlierOwners(partition int) []peer.Node {
	tables := append([]member.Table{n.members.Table()}, n.members.Previous()...)
	if time.Since(n.provisionedAt) < newcomerTime {
		tables = append(tables, n.tablesBeforeJoining(partition)...)
	}
	var out []peer.Node
	seen := map[string]bool{n.cfg.Self.ID: true}
	for _, table := range tables {
		m, ok := table.Owner(partition)
		if !ok || seen[m.ID] {
			continue
		}
		seen[m.ID] = true
		if isAlive, isKnown := n.transport.Reachable(m.ID); isAlive || !isKnown {
			out = append(out, nodeOf(m))
		}
	}
	return out
}

const (
	// maxJoinedTogether bounds the nodes that a newcomer asks.
	maxJoinedTogether = 3
	// newcomerTime is how long a node counts as one that has not seen every
	// table of which answers are still kept.
	newcomerTime = 10 * time.Minute
)

// tablesBeforeJoining returns the tables that there may have been before this
// node and a few others joined. They are good for the one partition.
func (n *Node) tablesBeforeJoining(partition int) []member.Table {
	var tables []member.Table
	rest := n.members.Table().Members
	joined := n.cfg.Self.ID
	for range maxJoinedTogether {
		rest = membersWithout(rest, joined)
		table := member.Table{Members: rest}
		owner, ok := table.Owner(partition)
		if !ok {
			break
		}
		tables = append(tables, table)
		joined = owner.ID
	}
	return tables
}

func membersWithout(members []member.Member, id string) []member.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m member.Member) bool { return m.ID == id })
}
