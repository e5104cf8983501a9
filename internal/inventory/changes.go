package inventory

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/provider"
)

// maxChanges bounds the earlier versions from which a node can tell changes.
const maxRecentChanges = 64

// Changes lead from one version of the VM list to another.
type Changes struct {
	// Since is the version that the changes start from; 0 is no list, and VMs
	// are then all of them.
	Since   int64 `msgpack:"b,omitempty"`
	Version int64 `msgpack:"v"`
	// VMs are those that are new or different.
	VMs []provider.VM `msgpack:"m,omitempty"`
	// Removed are the IDs of those that are gone.
	Removed []string `msgpack:"r,omitempty"`
	// Sum is the checksum of the resulting list.
	Checksum uint64 `msgpack:"s"`
}

// step is what changed with one version that this node has seen.
type listChange struct {
	previous int64
	changed  []string
}

// ListVersion returns the version of the VM list; 0 if a whole list is needed.
func (i *Inventory) ListVersion() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.needsFullList {
		return 0
	}
	return i.view.Version
}

// ChangesSince returns what leads from an earlier version to the present one:
// a delta if this node has seen that version lately, otherwise the whole list.
func (i *Inventory) ChangesSince(version int64) *Changes {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := &Changes{Version: i.view.Version, Checksum: checksum(i.view.VMs)}
	first := slices.IndexFunc(i.recentChanges, func(s listChange) bool { return s.previous == version })
	if first < 0 || version == 0 {
		c.VMs = slices.Collect(maps.Values(i.view.VMs))
		return c
	}
	c.Since = version
	ids := map[string]struct{}{}
	for _, s := range i.recentChanges[first:] {
		for _, id := range s.changed {
			ids[id] = struct{}{}
		}
	}
	for id := range ids {
		if vm, ok := i.view.VMs[id]; ok {
			c.VMs = append(c.VMs, vm)
		} else {
			c.Removed = append(c.Removed, id)
		}
	}
	return c
}

// ObserveChanges takes changes from a peer and reports whether they were used.
// A delta from another version than this node's is not; after one that does
// not give the peer's list the node asks for a whole list.
func (i *Inventory) ApplyChanges(c *Changes) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.Version <= i.view.Version || c.Since != 0 && c.Since != i.view.Version {
		return false
	}
	vms := map[string]provider.VM{}
	if c.Since != 0 {
		vms = maps.Clone(i.view.VMs)
	}
	for _, vm := range c.VMs {
		vms[vm.ID] = vm
	}
	for _, id := range c.Removed {
		delete(vms, id)
	}
	if checksum(vms) != c.Checksum {
		i.needsFullList = true
		return false
	}
	i.needsFullList = false
	i.publishLocked(&View{Version: c.Version, VMs: vms, LastNotice: i.view.LastNotice,
		Deadlines: maps.Clone(i.view.Deadlines)})
	return true
}

// recordLocked remembers what leads from the present view to next.
func (i *Inventory) recordChangeLocked(next *View) {
	if next.Version == i.view.Version {
		return
	}
	s := listChange{previous: i.view.Version}
	for id, vm := range next.VMs {
		if old, ok := i.view.VMs[id]; !ok || old != vm {
			s.changed = append(s.changed, id)
		}
	}
	for id := range i.view.VMs {
		if _, ok := next.VMs[id]; !ok {
			s.changed = append(s.changed, id)
		}
	}
	i.recentChanges = append(i.recentChanges, s)
	i.recentChanges = i.recentChanges[max(0, len(i.recentChanges)-maxRecentChanges):]
}

// checksum is independent of the order and of marks by notices, which nodes
// may have heard of at different times.
func checksum(vms map[string]provider.VM) uint64 {
	var sum uint64
	for _, vm := range vms {
		state := vm.State
		if state == provider.VMLeaving {
			state = provider.VMLive
		}
		sum += xxhash.Sum64String(vm.ID + "\x00" + vm.Service + "\x00" + vm.Address + "\x00" + string(state))
	}
	return sum
}
