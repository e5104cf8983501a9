package relay

import (
	"time"

	"buckthornpick/internal/backend"
)

// Load is the load that one entry puts on a backend server.
type Load struct {
	// Running is the number of calls that the entry runs at the server.
	Running int `msgpack:"r"`
}

// Loads returns this entry's load by server ID; servers without one are left out.
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

// SetPeerCalls sets the number of calls that the other entries run at each server,
// by server ID.
func (b *Balancer) SetPeerCalls(peerCalls map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for id, s := range b.servers {
		s.peerCalls = peerCalls[id]
		b.pickerLocked(s.Service).ApplyLoadReport(now, id, backend.Load{Running: s.peerCalls + s.ownCalls, MeasuredAt: now})
	}
}

// ServiceLoad is the load of a service in one availability zone.
type ServiceLoad struct {
	Service, Zone string
	// Ready is the number of servers that may get new calls.
	Ready int
	// ReadyReclaimable is the number of these that run on reclaimable VMs.
	ReadyReclaimable int
	// Running is the number of calls that all entries run.
	Running int
}

// ServiceLoads returns the load of each service in each zone, in no order.
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

// PrefillStats returns this entry's prefill statistics by service.
func (b *Balancer) PrefillStats() map[string]PrefillStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := make(map[string]PrefillStats, len(b.prefillMeters))
	for service, m := range b.prefillMeters {
		stats[service] = m.stats()
	}
	return stats
}
