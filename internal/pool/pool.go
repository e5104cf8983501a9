// Package pool keeps one route.Picker per service, fed from the inventory and
// the operators' document.
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

// Set holds the pickers of all services of one entry node. It is safe for
// concurrent use.
//
// Lock order: mu before a picker's own lock; nothing else is locked under mu.
type Set struct {
	self, zone string

	mu       sync.RWMutex
	services map[string]*service
	view     *inventory.View
	suspects map[string]failureBackoff
	draining map[string]bool
	changed  chan struct{}
}

type service struct {
	config  config.Service
	picker  *route.Picker
	servers []route.Server
}

// suspicion is held against a backend server that could not be reached: until
// it ends, the server gets new work only if no other is left.
type failureBackoff struct {
	until time.Time
	delay time.Duration
}

// A suspicion doubles each time the server fails again, so that servers behind a
// cut are seldom tried.
const (
	initialBackoff = 5 * time.Second
	maxBackoff     = time.Minute
)

// New returns a set for the entry node self in zone.
func New(self, zone string) *Set {
	return &Set{
		self: self, zone: zone,
		services: map[string]*service{},
		view:     &inventory.View{},
		suspects: map[string]failureBackoff{},
		changed:  make(chan struct{}),
	}
}

// SetServices takes the services of a new document. A picker whose parameters
// did not change keeps what it has learned.
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

// SetView takes a new view of the site.
func (s *Set) SetView(now time.Time, v *inventory.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	s.refreshLocked(now)
}

// SetDraining tells which VMs the planners drain: they get no new work and
// finish what they have.
func (s *Set) SetDraining(now time.Time, ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = make(map[string]bool, len(ids))
	for _, id := range ids {
		s.draining[id] = true
	}
	s.refreshLocked(now)
}

// Suspect marks a backend server that could not be reached or dropped a
// connection.
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

// Trust ends what is held against a backend server that has answered.
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

// Refresh gives servers whose suspicion has ended back to the pickers.
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

// Changed returns a channel that is closed at the next change of servers.
func (s *Set) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Picker returns the service's picker, nil for an unknown service.
func (s *Set) Picker(name string) *route.Picker {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if sv, ok := s.services[name]; ok {
		return sv.picker
	}
	return nil
}

// LiveServers counts the service's backend servers that get new work.
func (s *Set) AvailableServers(name string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	sv, ok := s.services[name]
	if !ok {
		return 0
	}
	live := 0
	for _, server := range sv.servers {
		if server.State != route.Leaving {
			live++
		}
	}
	return live
}

// Deadline returns when the backend server is taken back; ok is false if no
// notice is known.
func (s *Set) ReclaimDeadline(id string) (deadline time.Time, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	deadline, ok = s.view.Deadlines[id]
	return deadline, ok
}

// IsGone reports whether the platform lists the backend server as terminated
// or no longer at all.
func (s *Set) IsTerminated(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	vm, ok := s.view.VMs[id]
	return !ok || vm.State == provider.VMTerminated
}

// Report passes a load report on to the service's picker.
func (s *Set) Report(now time.Time, name, id string, load backend.Load) {
	if p := s.Picker(name); p != nil {
		p.Report(now, id, load)
	}
}

// Loads returns load and price of each service, for rules.
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

func (s *Set) refreshLocked(now time.Time) {
	for name, sv := range s.services {
		sv.servers = s.serversOf(now, name)
		sv.picker.SetServers(now, sv.servers)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

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

func (s *Set) stateOf(now time.Time, vm provider.VM) route.State {
	if vm.State == provider.VMLeaving || s.draining[vm.ID] {
		return route.Leaving
	}
	if backoff, ok := s.suspects[vm.ID]; ok && now.Before(backoff.until) {
		return route.Suspect
	}
	return route.Live
}

func sameRoutingConfig(a, b config.Service) bool {
	return a.Weights == b.Weights && a.Target == b.Target &&
		a.MaxConcurrentPerServer == b.MaxConcurrentPerServer
}
