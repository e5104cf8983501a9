package inventory

import (
	"maps"
	"time"

	"buckthornpick/internal/platform"
)

// SetDraining tells which VMs the planners drain. A VM that is drained no
// longer gets new work again.
func (i *Inventory) SetDraining(ids map[string]bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if maps.Equal(ids, i.view.Draining) {
		return
	}
	next := &View{
		Version: max(time.Now().UnixMicro(), i.view.Version+1), VMs: maps.Clone(i.view.VMs),
		Deadlines: maps.Clone(i.view.Deadlines), Draining: maps.Clone(ids), LastNotice: i.view.LastNotice,
	}
	for id := range i.view.Draining {
		vm, ok := next.VMs[id]
		if ok && !ids[id] && vm.State == platform.VMLeaving {
			vm.State = platform.VMLive
			next.VMs[id] = vm
		}
	}
	i.publishLocked(next)
}
