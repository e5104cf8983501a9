package entry

import (
	"sync"

	"buckthornpick/internal/inventory"
	"buckthornpick/internal/member"
)

// successorsCache keeps the table of heirs until what it was made from changes:
// requests of an owner under notice ask for it one by one.
type successorsCache struct {
	mu         sync.Mutex
	revision   int64
	view       *inventory.View
	isDraining bool
	table      member.Table
}

// heirs returns the table without members that are leaving, this node among
// them if it drains.
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
