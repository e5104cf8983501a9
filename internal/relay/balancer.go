package relay

import (
	"sync"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/config"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/route"
	"buckthornpick/internal/upstream"
)

// Balancer chooses backend servers. It has one picker for each service, fed by the
// registry, by own calls and by what the other entries have at each server. It
// is safe for concurrent use.
type Balancer struct {
	selfID string
	zone   string
	clock  clock.Clock
	pool   *upstream.Pool

	mu            sync.Mutex
	pickers       map[string]*route.Picker
	prefillMeters map[string]*prefillMeter
	servers       map[string]*server
	document      *follow.Document
	registered    []follow.Server
	entryCount    int
}

// server is what the entry knows of one backend server.
type server struct {
	follow.Server
	target   upstream.Target
	health   health
	ownCalls int
	// others is the number of calls that the other entries run there.
	peerCalls int
	state     route.State
}

// NewBalancer returns a balancer without servers.
func NewBalancer(selfID, zone string, c clock.Clock, pool *upstream.Pool) *Balancer {
	return &Balancer{
		selfID: selfID, zone: zone, clock: c, pool: pool, entryCount: 1,
		pickers: map[string]*route.Picker{}, prefillMeters: map[string]*prefillMeter{}, servers: map[string]*server{},
	}
}

// SetDocument takes the services of a new version of the document.
func (b *Balancer) SetDocument(doc *follow.Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.document = doc
	b.rebuildLocked()
}

// SetServers takes the registry.
func (b *Balancer) SetServers(list []follow.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registered = list
	b.rebuildLocked()
}

// SetEntries takes the number of the site's entries.
func (b *Balancer) SetEntryCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entryCount = max(n, 1)
}

func (b *Balancer) rebuildLocked() {
	next := make(map[string]*server, len(b.registered))
	targets := make([]upstream.Target, 0, len(b.registered))
	for _, s := range b.registered {
		existing, ok := b.servers[s.ID]
		if !ok || existing.Born != s.Born {
			existing = &server{}
		}
		existing.Server = s
		existing.target = upstream.Target{ID: s.ID, Address: s.Address, Incarnation: s.Born, MaxConnections: b.maxConnectionsLocked(s.Service)}
		next[s.ID] = existing
		if !s.Leaving {
			targets = append(targets, existing.target)
		}
	}
	b.servers = next
	b.pool.SetTargets(targets)
	b.updatePickersLocked()
}

// connectionsLocked is this entry's part of a server's connections, doubled
// because entries do not use them evenly.
func (b *Balancer) maxConnectionsLocked(service string) int {
	const imbalanceFactor = 2
	if b.document == nil {
		return 0
	}
	s := b.document.Service(service)
	if s == nil || s.MaxConnectionsPerServer == 0 {
		return 0
	}
	return max(imbalanceFactor, imbalanceFactor*s.MaxConnectionsPerServer/b.entryCount)
}

// feedLocked passes the servers with their states to the pickers.
func (b *Balancer) updatePickersLocked() {
	now := b.clock()
	byService := map[string][]route.Server{}
	for service := range b.pickers {
		byService[service] = nil
	}
	for _, s := range b.servers {
		s.state = s.stateAt(now)
		byService[s.Service] = append(byService[s.Service], route.Server{
			ID: s.ID, Zone: s.Zone, Address: s.Address, Reclaimable: s.Reclaimable, State: s.state,
		})
	}
	for service, list := range byService {
		b.pickerLocked(service).SetServers(time.Now(), list)
	}
}

func (s *server) stateAt(now time.Duration) route.State {
	switch {
	case s.Leaving:
		return route.Leaving
	case s.health.isSuspect(now):
		return route.Suspect
	}
	return route.Live
}

// maxOwnPerServer bounds the own calls at one server: no more than a server
// runs at once, since what exceeds that waits there.
const maxOwnCallsPerServer = 64

func (b *Balancer) pickerLocked(service string) *route.Picker {
	p, ok := b.pickers[service]
	if !ok {
		p = route.NewPicker(route.Config{
			Self: b.selfID, Zone: b.zone, MaxConcurrentPerServer: maxOwnCallsPerServer,
			MaxContexts: maxTrackedPrefixes, MaxBlocks: 1,
			Weights: config.RouteWeights{RecomputedTokenMillis: recomputedTokenMillis},
		})
		b.pickers[service] = p
	}
	return p
}

const (
	// maxContexts bounds the prompts whose servers are remembered.
	maxTrackedPrefixes = 4096
	// recomputedTokenMillis weighs a prompt token that is read again; engines
	// read about 40 in a millisecond, and the others' tokens wait meanwhile.
	recomputedTokenMillis = 0.1
)
