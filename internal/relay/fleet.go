package relay

import (
	"cmp"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/clock"
	"buckthornpick/internal/config"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/route"
	"buckthornpick/internal/upstream"
)

// Load is the work of one entry at a backend server.
type Load struct {
	Running int `msgpack:"r"`
}

// Fleet chooses backend servers. It has one picker for each service, fed by the
// registry, by own calls and by what the other entries have at each server. It
// is safe for concurrent use.
type Fleet struct {
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

// NewFleet returns a fleet without servers.
func NewFleet(self, zone string, c clock.Clock, pool *upstream.Pool) *Fleet {
	return &Fleet{self: self, zone: zone, clock: c, pool: pool, pickers: map[string]*route.Picker{}, meters: map[string]*workMeter{}, servers: map[string]*server{}, entries: 1}
}

// SetDocument takes the services of a new version of the document.
func (f *Fleet) SetDocument(doc *follow.Document) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doc = doc
	f.rebuildLocked()
}

// SetServers takes the registry.
func (f *Fleet) SetServers(list []follow.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = list
	f.rebuildLocked()
}

// SetEntries takes the number of the site's entries.
func (f *Fleet) SetEntries(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = max(n, 1)
}

func (f *Fleet) rebuildLocked() {
	next := make(map[string]*server, len(f.list))
	targets := make([]upstream.Target, 0, len(f.list))
	for _, s := range f.list {
		known, ok := f.servers[s.ID]
		if !ok || known.Born != s.Born {
			known = &server{}
		}
		known.Server = s
		known.target = upstream.Target{ID: s.ID, Address: s.Address, Run: s.Born, MaxConnections: f.connectionsLocked(s.Service)}
		next[s.ID] = known
		if !s.Leaving {
			targets = append(targets, known.target)
		}
	}
	f.servers = next
	f.pool.SetTargets(targets)
	f.feedLocked()
}

// connectionsLocked is this entry's part of a server's connections, doubled
// because entries do not use them evenly.
func (f *Fleet) connectionsLocked(service string) int {
	const uneven = 2
	if f.doc == nil {
		return 0
	}
	s := f.doc.Service(service)
	if s == nil || s.MaxConnectionsPerServer == 0 {
		return 0
	}
	return max(uneven, uneven*s.MaxConnectionsPerServer/f.entries)
}

// feedLocked tells the pickers the servers with their states.
func (f *Fleet) feedLocked() {
	now := f.clock()
	byService := map[string][]route.Server{}
	for service := range f.pickers {
		byService[service] = nil
	}
	for _, s := range f.servers {
		s.state = s.stateAt(now)
		byService[s.Service] = append(byService[s.Service], route.Server{
			ID: s.ID, Zone: s.Zone, Address: s.Address, Reclaimable: s.Reclaimable, State: s.state,
		})
	}
	for service, list := range byService {
		f.pickerLocked(service).SetServers(time.Now(), list)
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

func (f *Fleet) pickerLocked(service string) *route.Picker {
	p, ok := f.pickers[service]
	if !ok {
		p = route.NewPicker(route.Config{
			Self: f.self, Zone: f.zone, MaxConcurrentPerServer: maxOwnPerServer,
			MaxContexts: maxContexts, MaxBlocks: 1,
			Weights: config.RouteWeights{RecomputedTokenMillis: recomputedTokenMillis},
		})
		f.pickers[service] = p
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

// choice is a chosen server with what the picker needs to learn from the call.
type choice struct {
	target upstream.Target
	zone   string
	picked route.Choice
	own    int
	query  route.Query
	picker *route.Picker
	sentAt time.Time
}

// requestsThere is the number of requests at the server by the view that the
// choice went by.
func (c *choice) requestsThere() int {
	for _, t := range c.picked.Terms {
		if t.ID == c.target.ID {
			return int(t.Requests)
		}
	}
	return 0
}

// pick chooses a server for a request. Errors are those of route.Picker.
func (f *Fleet) pick(service string, facts *Facts, within time.Duration, tried map[string]bool) (*choice, error) {
	f.mu.Lock()
	now := f.clock()
	for _, s := range f.servers {
		if s.state != s.stateAt(now) {
			f.feedLocked()
			break
		}
	}
	picker := f.pickerLocked(service)
	f.mu.Unlock()
	q := route.Query{
		Now: time.Now(), Service: service, Context: contextOf(facts), PromptTokens: facts.PromptTokens, SharedTokens: facts.SharedTokens(),
		MaxTokens: facts.MaxTokens, FirstTokenWithin: within,
		Exclude: func(id string) bool { return tried[id] },
	}
	picked, err := picker.Pick(q)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[picked.Server.ID]
	if !ok || s.Leaving {
		return nil, &route.ErrNoServer{Service: service}
	}
	s.running++
	f.meterLocked(service).sent(facts.PromptTokens - picked.ExpectedCachedTokens)
	picker.Dispatched(q.Now, s.ID, q)
	return &choice{target: s.target, zone: s.Zone, picked: picked, own: facts.PromptTokens - facts.SharedTokens(), query: q, picker: picker, sentAt: q.Now}, nil
}

// contextOf names the longest prefix that other requests may share.
func contextOf(f *Facts) uint64 {
	if len(f.Parts) < 2 {
		return 0
	}
	return max(1, xxhash.Sum64String(f.Parts[len(f.Parts)-2].ID))
}

// firstToken tells the fleet when the first token of a call came.
func (f *Fleet) firstToken(c *choice) {
	now := time.Now()
	took := now.Sub(c.sentAt)
	c.picker.FirstToken(now, c.target.ID, took, c.picked)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.meterLocked(c.query.Service).firstToken(c.own, took)
}

func (f *Fleet) meterLocked(service string) *workMeter {
	m, ok := f.meters[service]
	if !ok {
		m = &workMeter{}
		f.meters[service] = m
	}
	return m
}

// Works returns the own work by service.
func (f *Fleet) Works() map[string]Work {
	f.mu.Lock()
	defer f.mu.Unlock()
	works := make(map[string]Work, len(f.meters))
	for service, m := range f.meters {
		works[service] = m.work()
	}
	return works
}

// outcome of a call as it bears on its server's health.
type outcome int

const (
	served outcome = iota
	failed
	unreachable
	// neutral outcomes say nothing about the server.
	neutral
)

// done ends a call.
func (f *Fleet) done(c *choice, o outcome) {
	usage := backend.Usage{}
	if o == served {
		usage.PromptTokens = c.query.PromptTokens
	}
	c.picker.Finished(time.Now(), c.target.ID, c.query, usage, o == served)
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[c.target.ID]
	if !ok || s.target.Run != c.target.Run {
		return
	}
	s.running = max(0, s.running-1)
	switch now := f.clock(); o {
	case served, failed:
		s.health.observe(now, o == served)
	case unreachable:
		s.health.unreachable(now)
		f.judgeZoneLocked(s.Zone, now)
	}
}

const (
	// zoneEvidence is the number of unreachable servers of another zone, and
	// zoneShare their part of the zone's, from which the whole zone counts as
	// cut off.
	zoneEvidence = 2
	zoneShare    = 0.4
	// zoneAvoided is the time for which the zone's servers are avoided; a cut
	// lasts for seconds, and each try costs a caller the time of a connection.
	zoneAvoided = 1500 * time.Millisecond
)

// judgeZoneLocked avoids all servers of a zone of which several cannot be
// reached. It answers a partition between zones, in which each server would
// otherwise be tried in turn.
func (f *Fleet) judgeZoneLocked(zone string, now time.Duration) {
	if zone == f.zone {
		return
	}
	all, lost := 0, 0
	for _, s := range f.servers {
		if s.Zone == zone && !s.Leaving {
			all++
			if s.health.backoff > 0 && s.health.isSuspect(now) {
				lost++
			}
		}
	}
	if lost < zoneEvidence || float64(lost) < zoneShare*float64(all) {
		return
	}
	for _, s := range f.servers {
		if s.Zone == zone {
			s.health.avoid(now + zoneAvoided)
		}
	}
}

// Loads returns the own calls at each server.
func (f *Fleet) Loads() map[string]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := map[string]Load{}
	for id, s := range f.servers {
		if s.running > 0 {
			loads[id] = Load{Running: s.running}
		}
	}
	return loads
}

// SetOthers takes the calls of the other entries at each server.
func (f *Fleet) SetOthers(others map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for id, s := range f.servers {
		s.others = others[id]
		f.pickerLocked(s.Service).Report(now, id, backend.Load{Running: s.others + s.running, MeasuredAt: now})
	}
}

// ServiceLoad is the state of a service in one zone.
type ServiceLoad struct {
	Service, Zone string
	Ready         int
	// Running is the number of calls of all entries.
	Running int
	// Slots is the number of calls that a server runs at once.
	Slots int
}

// ServiceLoads returns the load by service and zone.
func (f *Fleet) ServiceLoads() []ServiceLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	sums := map[[2]string]*ServiceLoad{}
	for _, s := range f.servers {
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
		sum.Running += s.running + s.others
		sum.Slots = cmp.Or(s.Slots, sum.Slots)
	}
	list := make([]ServiceLoad, 0, len(sums))
	for _, sum := range sums {
		list = append(list, *sum)
	}
	return list
}
