package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"buckthornpick/internal/member"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
)

const (
	// locateTimeout bounds the call to one node.
	locateTimeout = 500 * time.Millisecond
	// maxLocateHops is the maximum number of nodes through which a search for a
	// record passes: each node asked searches the earlier owners in the tables that
	// it has seen, which may reach further back than those of this node.
	maxLocateHops = 2
)

// locateResult is the result of a search for a request's record at earlier owners.
type locateResult struct {
	at    peer.Node
	found bool
	// isInconclusive is set if an earlier owner that may have the record did not
	// answer.
	isInconclusive bool
}

// openAtEarlierOwner opens the answer of a request whose record is still at an
// earlier owner of its partition. isInconclusive is as in locateResult.
func (n *Node) openAtEarlierOwner(ctx context.Context, m attachMsg) (s source, info request.Info, found, isInconclusive bool) {
	l := n.locate(ctx, m.ID, maxLocateHops)
	if !l.found {
		return nil, request.Info{}, false, l.isInconclusive
	}
	m.IsLocal = true
	s, info, err := n.openRemote(ctx, l.at, peer.Attach, m)
	return s, info, err == nil, err != nil
}

// openAtRecentMember opens the answer of a request that a recently joined member
// started before it had a table.
func (n *Node) openAtRecentMember(ctx context.Context, m attachMsg) (source, request.Info, bool) {
	m.IsLocal = true
	for _, recent := range n.recentMembers() {
		if reply, err := n.askLocate(ctx, recent, locateMsg{ID: m.ID}); err != nil || !reply.Found {
			continue
		}
		if s, info, err := n.openRemote(ctx, recent, peer.Attach, m); err == nil {
			return s, info, true
		}
	}
	return nil, request.Info{}, false
}

// maxRecentMembers bounds the nodes that are asked for requests which they started
// before they had a table.
const maxRecentMembers = 4

// recentMembers returns the other members that are missing from the oldest table
// kept, the most recent first.
func (n *Node) recentMembers() []peer.Node {
	previous := n.members.Previous()
	if len(previous) == 0 {
		return nil
	}
	var joined []member.Member
	for _, m := range n.members.Table().Members {
		if _, ok := previous[len(previous)-1].Find(m.ID); !ok && m.ID != n.cfg.Self.ID {
			joined = append(joined, m)
		}
	}
	slices.SortFunc(joined, func(a, b member.Member) int { return cmp.Compare(b.Incarnation, a.Incarnation) })
	var out []peer.Node
	for _, m := range joined[:min(len(joined), maxRecentMembers)] {
		out = append(out, nodeOf(m))
	}
	return out
}

// locate asks the earlier owners of the request's partition for its record. They
// ask the earlier owners that they know of in turn, with one hop less.
func (n *Node) locate(ctx context.Context, id request.ID, hops int) locateResult {
	owners, isInconclusive := n.earlierOwners(id.Partition())
	for _, earlier := range owners {
		reply, err := n.askLocate(ctx, earlier, locateMsg{ID: id, Hops: hops - 1})
		if err == nil && reply.Found && reply.At.ID != n.cfg.Self.ID {
			return locateResult{at: reply.At, found: true}
		}
		isInconclusive = isInconclusive || err != nil || reply.IsInconclusive
	}
	return locateResult{isInconclusive: isInconclusive}
}

// askLocate sends a locateMsg to one node.
func (n *Node) askLocate(ctx context.Context, to peer.Node, m locateMsg) (locateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	return peer.Call[locateReply](ctx, n.transport, to, peer.Locate, m)
}

// serveLocate handles peer.Locate: it answers whether this node has the record, or
// which other node does.
func (n *Node) serveLocate(ctx context.Context, _ peer.Node, m locateMsg) (locateReply, error) {
	if _, ok := n.dispatcher.Find(m.ID); ok {
		return locateReply{Found: true, At: nodeOf(n.cfg.Self)}, nil
	}
	if m.Hops <= 0 || !m.ID.Valid() {
		return locateReply{}, nil
	}
	l := n.locate(ctx, m.ID, m.Hops)
	return locateReply{Found: l.found, At: l.at, IsInconclusive: l.isInconclusive}, nil
}

// earlierOwners returns the other nodes that own the partition in the current or
// an earlier table, most recent first. It omits nodes known to be unreachable;
// isInconclusive is true if one of these is still a member, or if the requests of
// an earlier owner may have been lost with it. A node that has
// joined recently has not seen earlier tables, and adds the nodes that would own
// the partition if it had not joined.
func (n *Node) earlierOwners(partition int) (out []peer.Node, isInconclusive bool) {
	tables := append([]member.Table{n.members.Table()}, n.members.Previous()...)
	if time.Since(n.createdAt) < incompleteHistoryTime {
		tables = append(tables, n.tablesBeforeJoining(partition)...)
	}
	seen := map[string]bool{}
	for _, table := range tables {
		m, ok := table.Owner(partition)
		if !ok || m.ID == n.cfg.Self.ID {
			continue
		}
		isInconclusive = isInconclusive || n.members.MayHaveLost(m)
		if seen[m.ID] {
			continue
		}
		seen[m.ID] = true
		if isAlive, isKnown := n.transport.Reachable(m.ID); isAlive || !isKnown {
			out = append(out, nodeOf(m))
		} else if _, isMember := n.members.Table().Find(m.ID); isMember {
			isInconclusive = true
		}
	}
	return out, isInconclusive
}

const (
	// maxSimultaneousJoins bounds the earlier owners that a node which has joined
	// recently derives from the current table: one for each of the nodes, including
	// itself, that may have joined at about the same time.
	maxSimultaneousJoins = 3
	// incompleteHistoryTime is how long after its start a node assumes that it has
	// not seen every table whose owners may still keep answers.
	incompleteHistoryTime = 10 * time.Minute
)

// tablesBeforeJoining returns the tables that may have been in force before this
// node and a few others joined. They are valid for this partition only.
func (n *Node) tablesBeforeJoining(partition int) []member.Table {
	var tables []member.Table
	rest := n.members.Table().Members
	joined := n.cfg.Self.ID
	for range maxSimultaneousJoins {
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
