package fuzz

import "time"

func (w *world) takeStore(s Step) {
	f := w.site.Store.Faults
	if s.Do != actStoreHeal {
		w.change(func(f *faults) { f.storeBad = true })
	}
	switch s.Do {
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
		w.healStore()
	}
}

func (w *world) healStore() {
	f := w.site.Store.Faults
	f.SetOutage(false)
	f.ExpireLeasesInOutage(false)
	f.SetDelay(0)
	f.LoseWriteAnswers(0)
	f.LoseNextWriteAnswers(0)
	f.DelayNextWrites(0, 0)
	w.change(func(f *faults) { f.storeBad = false })
}

func (w *world) takeNetwork(s Step) {
	zone, _ := pick(w.zones, s.A)
	other, _ := pick(w.zones, s.A+1+s.B%(len(w.zones)-1))
	switch s.Do {
	case actCutZones:
		w.cutZones(zone, other)
	case actCutPlatform:
		w.cutZones(zone, platformZone)
	case actIsolate:
		w.cutZones(zone, platformZone)
		for _, z := range w.zones {
			if z != zone {
				w.cutZones(zone, z)
			}
		}
	case actCutEntry, actPauseEntry:
		e, ok := pick(w.site.Entries(), s.A)
		if !ok {
			return
		}
		w.change(func(f *faults) { f.hosts[e.ID] = true })
		if s.Do == actCutEntry {
			w.network.PartitionHost(e.ID)
		} else {
			w.network.PauseHost(e.ID)
		}
	case actHealNetwork:
		w.healNetwork()
	}
}

func (w *world) cutZones(a, b string) {
	w.change(func(f *faults) { f.zones[[2]string{a, b}] = true })
	w.network.PartitionZones(a, b)
}

func (w *world) healNetwork() {
	w.network.HealAll()
	w.mu.Lock()
	hosts := w.faults.hosts
	w.mu.Unlock()
	for id := range hosts {
		w.network.ResumeHost(id)
	}
	w.change(func(f *faults) {
		clear(f.zones)
		f.hosts = map[string]bool{}
	})
}
