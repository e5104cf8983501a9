package inventory

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/provider"
)

// maxRecentChanges is the number of list changes that a node keeps, and so of
// earlier versions to which it can give a delta.
const maxRecentChanges = 64

// Changes transforms one version of the VM list into a later one. It is either a
// delta or the full list.
type Changes struct {
	// Since is the version that the delta applies to; 0 means that VMs is the
	// full list.
	Since   int64 `msgpack:"b,omitempty"`
	Version int64 `msgpack:"v"`
	// VMs are the added and changed VMs.
	VMs []provider.VM `msgpack:"m,omitempty"`
	// Removed are the IDs of the removed VMs.
	Removed []string `msgpack:"r,omitempty"`
	// Checksum is the checksum of the resulting list.
	Checksum uint64 `msgpack:"s"`
}

// listChange holds the previous version of the list and the IDs of the VMs that
// changed since.
type listChange struct {
	previous int64
	changed  []string
}

// ListVersion returns the version of the VM list, or 0 if the node needs the
// full list.
func (i *Inventory) ListVersion() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.needsFullList {
		return 0
	}
	return i.view.Version
}

// ChangesSince returns the changes from an earlier version to the current one: a
// delta if this node has had that version recently, otherwise the full list.
func (i *Inventory) ChangesSince(version int64) *Changes {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := &Changes{Version: i.view.Version, Checksum: checksum(i.view.VMs)}
	first := slices.IndexFunc(i.recentChanges, func(change listChange) bool { return change.previous == version })
	if first < 0 || version == 0 {
		c.VMs = slices.Collect(maps.Values(i.view.VMs))
		return c
	}
	c.Since = version
	ids := map[string]struct{}{}
	for _, change := range i.recentChanges[first:] {
		for _, id := range change.changed {
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

// ApplyChanges applies changes received from a peer and reports whether it did.
// Changes that are not newer, and deltas for another version than this node's,
// are ignored. If the result does not match the checksum, it is discarded and
// ListVersion returns 0, so that the node requests the full list.
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

// recordChangeLocked records the difference between the current view and next.
// The caller holds i.mu.
func (i *Inventory) recordChangeLocked(next *View) {
	if next.Version == i.view.Version {
		return
	}
	change := listChange{previous: i.view.Version}
	for id, vm := range next.VMs {
		if old, ok := i.view.VMs[id]; !ok || old != vm {
			change.changed = append(change.changed, id)
		}
	}
	for id := range i.view.VMs {
		if _, ok := next.VMs[id]; !ok {
			change.changed = append(change.changed, id)
		}
	}
	i.recentChanges = append(i.recentChanges, change)
	i.recentChanges = i.recentChanges[max(0, len(i.recentChanges)-maxRecentChanges):]
}

// checksum returns a checksum of the VMs. It does not depend on their order, nor
// on whether notices have marked them as leaving, since nodes may receive
// notices at different times.
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
