package entry

import (
	"sync"

	"buckthornpick/internal/inventory"
	"buckthornpick/internal/member"
)

// heirsCache keeps the table of heirs until what it was made from changes:
// requests of an owner under notice ask for it one by one.
type heirsCache struct {
	mu         sync.Mutex
	revision   int64
	view       *inventory.View
	isDraining bool
	table      member.Table
}

// heirs returns the table without members that are leaving, this node among
// them if it drains.
func (n *Node) heirs() member.Table {
	table, view, isDraining := n.members.Table(), n.inventory.View(), n.drain.isDraining()
	c := &n.heirsCache
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != view || c.revision != table.Revision || c.isDraining != isDraining {
		c.view, c.revision, c.isDraining = view, table.Revision, isDraining
		c.table = n.newHeirs(table, view, isDraining)
	}
	return c.table
}

func (n *Node) newHeirs(table member.Table, view *inventory.View, isDraining bool) member.Table {
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

// withoutCache keeps tables without one member, because each computes its owners
// once.
type withoutCache struct {
	mu     sync.Mutex
	tables map[int64]member.Table
}

// maxWithout bounds the tables kept; a membership shows no more at a time.
const maxWithout = 16

// of returns the table without the member.
func (c *withoutCache) of(t member.Table, id string) member.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kept, ok := c.tables[t.Revision]; ok {
		return kept
	}
	if c.tables == nil || len(c.tables) >= maxWithout {
		c.tables = map[int64]member.Table{}
	}
	made := without(t, map[string]bool{id: true})
	c.tables[t.Revision] = made
	return made
}
