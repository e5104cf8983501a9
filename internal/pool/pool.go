// Package pool maintains one route.Picker per service and updates it from the
// inventory and the configuration document.
package pool

import (
	"sync"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/config"
	"buckthornpick/internal/inventory"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/route"
)

// Set holds the pickers of all services on one entry node. It is safe for
// concurrent use.
//
// Lock order: mu before the lock of a picker; no other lock is taken while mu is
// held.
type Set struct {
	// self and zone are the ID and the availability zone of the entry node.
	self, zone string

	mu       sync.RWMutex
	services map[string]*service
	// view is the latest view of the inventory.
	view *inventory.View
	// suspects holds the failed backend servers and draining those that are being
	// drained, by ID.
	suspects map[string]failureBackoff
	draining map[string]bool
	// changed is closed and replaced at every change of the servers.
	changed chan struct{}
}

// service is a configured service with its picker and its current servers.
type service struct {
	config  config.Service
	picker  *route.Picker
	servers []route.Server
}

// failureBackoff is the backoff of a backend server that could not be reached.
// Until it expires, the server is suspect and gets new requests only if no other
// server remains.
type failureBackoff struct {
	until time.Time
	delay time.Duration
}

// The backoff delay doubles each time the server fails again, so that servers
// behind a network partition are rarely tried.
const (
	initialBackoff = 5 * time.Second
	maxBackoff     = time.Minute
)

// New returns an empty set for the entry node self in zone.
func New(self, zone string) *Set {
	return &Set{
		self: self, zone: zone,
		services: map[string]*service{},
		view:     &inventory.View{},
		suspects: map[string]failureBackoff{},
		changed:  make(chan struct{}),
	}
}

// SetServices replaces the services with those of a new document. A service
// whose routing parameters did not change keeps its picker with its state.
func (s *Set) SetServices(now time.Time, services []config.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*service, len(services))
	for _, c := range services {
		old, ok := s.services[c.Name]
		if !ok || !sameRoutingConfig(old.config, c) {
			old = &service{picker: route.NewPicker(s.pickerConfig(c))}
		}
		next[c.Name] = &service{config: c, picker: old.picker}
	}
	s.services = next
	s.refreshLocked(now)
}

// SetView replaces the view of the inventory.
func (s *Set) SetView(now time.Time, v *inventory.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	s.refreshLocked(now)
}

// SetDraining replaces the list of VMs that the planners drain. Draining VMs get
// no new requests and finish those that they run.
func (s *Set) SetDraining(now time.Time, ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = make(map[string]bool, len(ids))
	for _, id := range ids {
		s.draining[id] = true
	}
	s.refreshLocked(now)
}

// MarkSuspect marks a backend server as suspect, because it could not be reached
// or dropped a connection. It has no effect while the server's backoff lasts.
func (s *Set) MarkSuspect(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	backoff := s.suspects[id]
	if now.Before(backoff.until) {
		return
	}
	backoff.delay = min(max(2*backoff.delay, initialBackoff), maxBackoff)
	backoff.until = now.Add(backoff.delay)
	s.suspects[id] = backoff
	s.refreshLocked(now)
}

// ClearSuspect ends the backoff of a backend server that has answered.
func (s *Set) ClearSuspect(now time.Time, id string) {
	s.mu.RLock()
	_, isSuspect := s.suspects[id]
	s.mu.RUnlock()
	if !isSuspect {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.suspects, id)
	s.refreshLocked(now)
}

// refreshInterval is the longest time between two calls of Refresh.
const refreshInterval = time.Second

// Refresh updates the pickers if the backoff of a server has expired. It must be
// called at least every refreshInterval. A backoff is kept for maxBackoff after
// its end, so that a server that fails again gets a longer delay.
func (s *Set) Refresh(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	anyExpired := false
	for id, backoff := range s.suspects {
		if now.Sub(backoff.until) > maxBackoff {
			delete(s.suspects, id)
		}
		anyExpired = anyExpired || (now.After(backoff.until) && now.Sub(backoff.until) < refreshInterval)
	}
	if anyExpired {
		s.refreshLocked(now)
	}
}

// Changed returns a channel that is closed at the next change of the servers.
func (s *Set) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Picker returns the picker of a service, nil if the service is unknown.
func (s *Set) Picker(name string) *route.Picker {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if sv, ok := s.services[name]; ok {
		return sv.picker
	}
	return nil
}

// AvailableServers returns the number of the service's backend servers that may
// get new requests: all except those that are leaving.
func (s *Set) AvailableServers(name string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	sv, ok := s.services[name]
	if !ok {
		return 0
	}
	available := 0
	for _, server := range sv.servers {
		if server.State != route.Leaving {
			available++
		}
	}
	return available
}

// ReclaimDeadline returns the time at which the backend server will be reclaimed;
// ok is false if there is no reclaim notice.
func (s *Set) ReclaimDeadline(id string) (deadline time.Time, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	deadline, ok = s.view.Deadlines[id]
	return deadline, ok
}

// IsTerminated reports whether the platform lists the backend server as
// terminated or does not list it.
func (s *Set) IsTerminated(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	vm, ok := s.view.VMs[id]
	return !ok || vm.State == provider.VMTerminated
}

// Report forwards a load report to the service's picker.
func (s *Set) Report(now time.Time, name, id string, load backend.Load) {
	if p := s.Picker(name); p != nil {
		p.ApplyLoadReport(now, id, load)
	}
}

// LoadAndPrice returns the load of a service and the price of its cheapest live
// server, as inputs for the rules; both are 0 if the service is unknown.
func (s *Set) LoadAndPrice(now time.Time, name string) (load, price float64) {
	p := s.Picker(name)
	if p == nil {
		return 0, 0
	}
	return p.Load(now), p.CheapestPrice()
}

func (s *Set) pickerConfig(c config.Service) route.Config {
	return route.Config{
		Weights: c.Weights, Target: c.Target,
		MaxConcurrentPerServer: c.MaxConcurrentPerServer,
		Self:                   s.self, Zone: s.zone,
	}
}

// refreshLocked updates the servers of all pickers and signals the change.
func (s *Set) refreshLocked(now time.Time) {
	for name, sv := range s.services {
		sv.servers = s.serversOf(now, name)
		sv.picker.SetServers(now, sv.servers)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// serversOf returns the live and leaving servers of a service.
func (s *Set) serversOf(now time.Time, name string) []route.Server {
	var out []route.Server
	for _, vm := range s.view.Servers(name) {
		if vm.State != provider.VMLive && vm.State != provider.VMLeaving {
			continue
		}
		out = append(out, route.Server{
			ID: vm.ID, Zone: vm.Zone, Class: vm.Class, Address: vm.Address,
			Price: vm.PricePerHour, Accelerators: vm.Accelerators, Reclaimable: vm.Reclaimable,
			State: s.stateOf(now, vm),
		})
	}
	return out
}

// stateOf returns the state of a VM for routing. Leaving or draining takes
// precedence over suspect.
func (s *Set) stateOf(now time.Time, vm provider.VM) route.State {
	if vm.State == provider.VMLeaving || s.draining[vm.ID] {
		return route.Leaving
	}
	if backoff, ok := s.suspects[vm.ID]; ok && now.Before(backoff.until) {
		return route.Suspect
	}
	return route.Live
}

// sameRoutingConfig reports whether pickers for a and b would have the same
// parameters.
func sameRoutingConfig(a, b config.Service) bool {
	return a.Weights == b.Weights && a.Target == b.Target &&
		a.MaxConcurrentPerServer == b.MaxConcurrentPerServer
}
