package entry

import (
	"sync"

	"buckthornpick/internal/inventory"
	"buckthornpick/internal/member"
)

// successorsCache caches the table of successors until one of its inputs changes:
// when an owner is to be reclaimed, the table is needed for each of its requests.
type successorsCache struct {
	mu         sync.Mutex
	revision   int64
	view       *inventory.View
	isDraining bool
	table      member.Table
}

// successors returns the table without the members that are leaving: those under
// a reclaim notice, and this node if it is draining. Its owner of a partition is
// the successor that takes the partition over from a leaving member.
func (n *Node) successors() member.Table {
	table, view, isDraining := n.members.Table(), n.inventory.View(), n.drain.isDraining()
	c := &n.successorsCache
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != view || c.revision != table.Revision || c.isDraining != isDraining {
		c.view, c.revision, c.isDraining = view, table.Revision, isDraining
		c.table = n.buildSuccessors(table, view, isDraining)
	}
	return c.table
}

// buildSuccessors computes the table that successors returns.
func (n *Node) buildSuccessors(table member.Table, view *inventory.View, isDraining bool) member.Table {
	var rest []member.Member
	for _, m := range table.Members {
		_, isLeaving := view.Deadlines[m.ID]
		isLeaving = isLeaving || (isDraining && m.ID == n.cfg.Self.ID)
		if !isLeaving {
			rest = append(rest, m)
		}
	}
	return member.NewTable(table.Revision, rest, nil)
}
