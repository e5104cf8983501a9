package relay

import (
	"time"

	"buckthornpick/internal/backend"
)

// Load is the work of one entry at a backend server.
type Load struct {
	Running int `msgpack:"r"`
}

// Loads returns the own calls at each server.
func (b *Balancer) Loads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := map[string]Load{}
	for id, s := range b.servers {
		if s.ownCalls > 0 {
			loads[id] = Load{Running: s.ownCalls}
		}
	}
	return loads
}

// SetOthers takes the calls of the other entries at each server.
func (b *Balancer) SetPeerCalls(peerCalls map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for id, s := range b.servers {
		s.peerCalls = peerCalls[id]
		b.pickerLocked(s.Service).Report(now, id, backend.Load{Running: s.peerCalls + s.ownCalls, MeasuredAt: now})
	}
}

// ServiceLoad is the state of a service in one zone.
type ServiceLoad struct {
	Service, Zone string
	Ready         int
	// ReadyReclaimable is the part of Ready that may be reclaimed.
	ReadyReclaimable int
	// Running is the number of calls of all entries.
	Running int
}

// ServiceLoads returns the load by service and zone.
func (b *Balancer) ServiceLoads() []ServiceLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	sums := map[[2]string]*ServiceLoad{}
	for _, s := range b.servers {
		if s.Leaving {
			continue
		}
		key := [2]string{s.Service, s.Zone}
		sum, ok := sums[key]
		if !ok {
			sum = &ServiceLoad{Service: s.Service, Zone: s.Zone}
			sums[key] = sum
		}
		sum.Ready++
		if s.Reclaimable {
			sum.ReadyReclaimable++
		}
		sum.Running += s.ownCalls + s.peerCalls
	}
	list := make([]ServiceLoad, 0, len(sums))
	for _, sum := range sums {
		list = append(list, *sum)
	}
	return list
}

// Works returns the own work by service.
func (b *Balancer) PrefillStats() map[string]PrefillStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := make(map[string]PrefillStats, len(b.prefillMeters))
	for service, m := range b.prefillMeters {
		stats[service] = m.stats()
	}
	return stats
}
