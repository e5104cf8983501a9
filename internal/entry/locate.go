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
	// locateTimeout bounds the question to one node.
	locateTimeout = 500 * time.Millisecond
	// maxLocateHops is how many changes of ownership back a record is looked for
	// beyond the tables that this node has seen.
	maxLocateHops = 2
)

// lookup is the result of the search for a record at earlier owners.
type locateResult struct {
	at    peer.Node
	found bool
	// isInconclusive is set if an earlier owner that may have the record did not answer.
	isInconclusive bool
}

// openAtEarlierOwner follows a request that an earlier owner of its partition
// still has. Its last result is as in lookup.
func (n *Node) openAtEarlierOwner(ctx context.Context, m attachMsg) (s source, info request.Info, found, isInconclusive bool) {
	l := n.locate(ctx, m.ID, maxLocateHops)
	if !l.found {
		return nil, request.Info{}, false, l.isInconclusive
	}
	m.IsLocal = true
	s, info, err := n.openRemote(ctx, l.at, peer.Attach, m)
	return s, info, err == nil, err != nil
}

// openAtRecentMember follows a request that a member which joined lately began
// before it had a table.
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

// maxRecentMembers bounds the nodes that are asked for what they began before they
// had a table.
const maxRecentMembers = 4

// newcomers returns the other members that are not in the earliest table kept,
// the latest first.
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

// locate asks the earlier owners of the request's partition for its record.
// They ask further with one hop less.
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

func (n *Node) askLocate(ctx context.Context, to peer.Node, m locateMsg) (locateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	return peer.Call[locateReply](ctx, n.transport, to, peer.Locate, m)
}

// serveLocate answers whether this node has a record, or knows who does.
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

// earlierOwners returns the other nodes that owned the partition by this table
// or earlier ones, latest first, without those known to be unreachable, and
// whether a member is among these. A node that has not seen the earlier tables
// adds those that would own the partition without it.
func (n *Node) earlierOwners(partition int) (out []peer.Node, isMemberUnreachable bool) {
	tables := append([]member.Table{n.members.Table()}, n.members.Previous()...)
	if time.Since(n.createdAt) < incompleteHistoryTime {
		tables = append(tables, n.tablesBeforeJoining(partition)...)
	}
	seen := map[string]bool{n.cfg.Self.ID: true}
	for _, table := range tables {
		m, ok := table.Owner(partition)
		if !ok || seen[m.ID] {
			continue
		}
		seen[m.ID] = true
		if isAlive, isKnown := n.transport.Reachable(m.ID); isAlive || !isKnown {
			out = append(out, nodeOf(m))
		} else if _, isMember := n.members.Table().Find(m.ID); isMember {
			isMemberUnreachable = true
		}
	}
	return out, isMemberUnreachable
}

const (
	// maxSimultaneousJoins bounds the nodes that a newcomer asks.
	maxSimultaneousJoins = 3
	// incompleteHistoryTime is how long a node counts as one that has not seen every
	// table of which answers are still kept.
	incompleteHistoryTime = 10 * time.Minute
)

// tablesBeforeJoining returns the tables that there may have been before this
// node and a few others joined. They are good for the one partition.
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
