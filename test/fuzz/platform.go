package fuzz

import "time"

func (h *harness) performStoreStep(s Step) {
	f := h.site.Store.Faults
	if s.Action != actStoreHeal {
		h.updateFaults(func(f *faults) { f.isStoreFaulty = true })
	}
	switch s.Action {
	case actStoreOutage:
		f.SetOutage(true)
	case actStoreLapse:
		f.ExpireLeasesInOutage(true)
		f.SetOutage(true)
	case actStoreSlow:
		f.SetDelay(time.Duration(50+s.A%3000) * time.Millisecond)
	case actStoreLose:
		f.LoseWriteAnswers(float64(1+s.A%5) / 6)
	case actStoreLate:
		f.DelayNextWrites(1+s.A%6, time.Duration(100+s.B%8000)*time.Millisecond)
	case actStoreHeal:
		h.healStore()
	}
}

// healStore ends all faults of the store.
func (h *harness) healStore() {
	f := h.site.Store.Faults
	f.SetOutage(false)
	f.ExpireLeasesInOutage(false)
	f.SetDelay(0)
	f.LoseWriteAnswers(0)
	f.LoseNextWriteAnswers(0)
	f.DelayNextWrites(0, 0)
	h.updateFaults(func(f *faults) { f.isStoreFaulty = false })
}

func (h *harness) performNetworkStep(s Step) {
	zone, _ := pick(h.zones, s.A)
	other, _ := pick(h.zones, s.A+1+s.B%(len(h.zones)-1))
	switch s.Action {
	case actCutZones:
		h.partitionZones(zone, other)
	case actCutPlatform:
		h.partitionZones(zone, platformZone)
	case actIsolate:
		h.partitionZones(zone, platformZone)
		for _, z := range h.zones {
			if z != zone {
				h.partitionZones(zone, z)
			}
		}
	case actCutEntry, actPauseEntry:
		e, ok := pick(h.site.Entries(), s.A)
		if !ok {
			return
		}
		h.updateFaults(func(f *faults) { f.faultyHosts[e.ID] = true })
		if s.Action == actCutEntry {
			h.network.PartitionHost(e.ID)
		} else {
			h.network.PauseHost(e.ID)
		}
	case actHealNetwork:
		h.healNetwork()
	}
}

// partitionZones partitions two zones, or a zone and the platform, from each other.
func (h *harness) partitionZones(a, b string) {
	h.updateFaults(func(f *faults) { f.partitionedZones[[2]string{a, b}] = true })
	h.network.PartitionZones(a, b)
}

// healNetwork ends all partitions and resumes all paused hosts.
func (h *harness) healNetwork() {
	h.network.HealAll()
	h.mu.Lock()
	hosts := h.faults.faultyHosts
	h.mu.Unlock()
	for id := range hosts {
		h.network.ResumeHost(id)
	}
	h.updateFaults(func(f *faults) {
		clear(f.partitionedZones)
		f.faultyHosts = map[string]bool{}
	})
}
