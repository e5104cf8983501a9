package relay

import (
	"sync"
	"time"

	"buckthornpick/internal/capacity"
	"buckthornpick/internal/clock"
	"buckthornpick/internal/config"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/route"
	"buckthornpick/internal/upstream"
)

// Balancer selects backend servers. It has one picker for each service, which is
// updated from the registry, from this entry's calls and from the calls that the
// other entries run at each server. It is safe for concurrent use.
type Balancer struct {
	selfID string
	zone   string
	clock  clock.Clock
	pool   *upstream.Pool

	mu sync.Mutex
	// pickers and prefillMeters are keyed by service, servers by server ID.
	pickers       map[string]*route.Picker
	prefillMeters map[string]*prefillMeter
	servers       map[string]*server
	document      *follow.Document
	registered    []follow.Server
	// brittle holds how many requests each server may turn away in a second, by service;
	// returnPlace gives the permit of a call at such a server back.
	brittle     map[string]float64
	returnPlace func(server string, incarnation int64)
	// statesSlowness holds whether the servers of a service say how long work takes there, by
	// service.
	statesSlowness map[string]bool
	// answers are this entry's, and estimators by service hold what those of all entries say.
	answers    *capacity.Answers
	estimators map[string]*capacity.Estimator
	// entryCount is the number of the site's entries, at least 1.
	entryCount int
}

// server is the state of one backend server.
type server struct {
	follow.Server
	target upstream.Target
	health health
	// pausedUntil is the end of the time for which the server wants no requests, by
	// the balancer's clock.
	pausedUntil time.Duration
	limit       limitState
	// load is what the server has said of its load.
	load     capacity.Server
	estimate capacity.Estimate
	// estimateToldAt is when a change of the estimate was last told.
	estimateToldAt time.Duration
	room           room
	// ownCalls and peerCalls are the numbers of calls that this entry and the other
	// entries run at the server.
	ownCalls  int
	peerCalls int
	state     route.State
}

// NewBalancer returns a balancer without servers for the entry selfID in the
// given availability zone.
func NewBalancer(selfID, zone string, c clock.Clock, pool *upstream.Pool) *Balancer {
	return &Balancer{
		selfID: selfID, zone: zone, clock: c, pool: pool, entryCount: 1,
		pickers: map[string]*route.Picker{}, prefillMeters: map[string]*prefillMeter{}, servers: map[string]*server{}, brittle: map[string]float64{},
		statesSlowness: map[string]bool{}, answers: capacity.NewAnswers(), estimators: map[string]*capacity.Estimator{},
	}
}

// SetDocument sets the configuration document, which holds the services.
func (b *Balancer) SetDocument(doc *follow.Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.document = doc
	b.rebuildLocked()
}

// SetServers replaces the list of registered backend servers.
func (b *Balancer) SetServers(list []follow.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registered = list
	b.rebuildLocked()
}

// SetEntryCount sets the number of the site's entries.
func (b *Balancer) SetEntryCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entryCount = max(n, 1)
}

// rebuildLocked updates the servers, the targets of the pool and the pickers after
// a change of the registry or the document. A server that was restarted loses its
// recorded state.
func (b *Balancer) rebuildLocked() {
	next := make(map[string]*server, len(b.registered))
	targets := make([]upstream.Target, 0, len(b.registered))
	for _, s := range b.registered {
		existing, ok := b.servers[s.ID]
		if !ok || existing.Incarnation != s.Incarnation {
			existing = &server{}
			if _, isBrittle := b.brittle[s.Service]; isBrittle {
				existing.room = room{most: startShare * float64(s.Slots), at: b.clock()}
			}
		}
		existing.Server = s
		existing.target = upstream.Target{ID: s.ID, Group: s.Service, Address: s.Address, Incarnation: s.Incarnation, MaxConnections: b.maxConnectionsLocked(s.Service)}
		next[s.ID] = existing
		if !s.Leaving {
			targets = append(targets, existing.target)
		}
	}
	b.servers = next
	b.pool.SetTargets(targets)
	b.updatePickersLocked()
}

// maxConnectionsLocked returns the limit of this entry's connections to a server
// of the service: its share of the server's limit, doubled because entries do not
// use their shares evenly. 0 is no limit.
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

// updatePickersLocked passes the servers with their current states to the pickers.
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

// stateAt returns the routing state of the server at the given time.
func (s *server) stateAt(now time.Duration) route.State {
	switch {
	case s.Leaving:
		return route.Leaving
	case now < s.pauseEnd():
		return route.Paused
	case s.health.isSuspect(now):
		return route.Suspect
	}
	return route.Live
}

// maxOwnCallsPerServer limits this entry's concurrent calls at one server to what
// a server runs at once; further calls would only wait in the server's queue.
const maxOwnCallsPerServer = 64

// pickerLocked returns the picker of the service and creates it if necessary.
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
	// maxTrackedPrefixes limits the number of prompt prefixes for which a picker
	// tracks the servers that cache them.
	maxTrackedPrefixes = 4096
	// recomputedTokenMillis is the cost of a prompt token that is not cached at the
	// server. Engines prefill about 40 tokens in a millisecond; the cost is higher
	// since other requests wait for their tokens meanwhile.
	recomputedTokenMillis = 0.1
)
