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
	self  string
	zone  string
	clock clock.Clock
	pool  *upstream.Pool

	mu      sync.Mutex
	pickers map[string]*route.Picker
	meters  map[string]*workMeter
	servers map[string]*server
	doc     *follow.Document
	list    []follow.Server
	entries int
}

// server is what the entry knows of one backend server.
type server struct {
	follow.Server
	target  upstream.Target
	health  health
	running int
	// others is the number of calls that the other entries run there.
	others int
	state  route.State
}

// NewBalancer returns a balancer without servers.
func NewBalancer(self, zone string, c clock.Clock, pool *upstream.Pool) *Balancer {
	return &Balancer{
		self: self, zone: zone, clock: c, pool: pool, entries: 1,
		pickers: map[string]*route.Picker{}, meters: map[string]*workMeter{}, servers: map[string]*server{},
	}
}

// SetDocument takes the services of a new version of the document.
func (b *Balancer) SetDocument(doc *follow.Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.doc = doc
	b.rebuildLocked()
}

// SetServers takes the registry.
func (b *Balancer) SetServers(list []follow.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = list
	b.rebuildLocked()
}

// SetEntries takes the number of the site's entries.
func (b *Balancer) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(n, 1)
}

func (b *Balancer) rebuildLocked() {
	next := make(map[string]*server, len(b.list))
	targets := make([]upstream.Target, 0, len(b.list))
	for _, s := range b.list {
		known, ok := b.servers[s.ID]
		if !ok || known.Incarnation != s.Incarnation {
			known = &server{}
		}
		known.Server = s
		known.target = upstream.Target{ID: s.ID, Address: s.Address, Run: s.Incarnation, MaxConnections: b.connectionsLocked(s.Service)}
		next[s.ID] = known
		if !s.Leaving {
			targets = append(targets, known.target)
		}
	}
	b.servers = next
	b.pool.SetTargets(targets)
	b.feedLocked()
}

// connectionsLocked is this entry's part of a server's connections, doubled
// because entries do not use them evenly.
func (b *Balancer) connectionsLocked(service string) int {
	const uneven = 2
	if b.doc == nil {
		return 0
	}
	s := b.doc.Service(service)
	if s == nil || s.MaxConnectionsPerServer == 0 {
		return 0
	}
	return max(uneven, uneven*s.MaxConnectionsPerServer/b.entries)
}

// feedLocked passes the servers with their states to the pickers.
func (b *Balancer) feedLocked() {
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
const maxOwnPerServer = 64

func (b *Balancer) pickerLocked(service string) *route.Picker {
	p, ok := b.pickers[service]
	if !ok {
		p = route.NewPicker(route.Config{
			Self: b.self, Zone: b.zone, MaxConcurrentPerServer: maxOwnPerServer,
			MaxContexts: maxContexts, MaxBlocks: 1,
			Weights: config.RouteWeights{RecomputedTokenMillis: recomputedTokenMillis},
		})
		b.pickers[service] = p
	}
	return p
}

const (
	// maxContexts bounds the prompts whose servers are remembered.
	maxContexts = 4096
	// recomputedTokenMillis weighs a prompt token that is read again; engines
	// read about 40 in a millisecond, and the others' tokens wait meanwhile.
	recomputedTokenMillis = 0.1
)
