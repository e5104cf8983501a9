package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/backend"
)

// Picker chooses backend servers of one service at one entry. It is safe for
// concurrent use.
//
// Lock order: mu is a leaf. No function of a caller but Query.Exclude runs
// while it is held, so Exclude must not call the picker.
type Picker struct {
	mu  sync.Mutex
	cfg Config
	rng *rand.Rand

	// servers holds every server told by SetServers, by ID.
	servers map[string]*serverState
	// usable is this entry's subset of the servers, ordered by ID.
	usable []*serverState
	models map[string]*latencyModel

	contexts contextIndex
	blocks   blockIndex
	// endInterval is the mean time between ends of own requests.
	meanEndInterval time.Duration
	lastEnd         time.Time

	// candidates is reused by Pick.
	candidates []candidate
}

// NewPicker returns a picker without servers.
func NewPicker(cfg Config) *Picker {
	cfg = cfg.withDefaults()
	seed := xxhash.Sum64String(cfg.Self)
	return &Picker{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(seed, mix(seed))),
		servers:  map[string]*serverState{},
		models:   map[string]*latencyModel{},
		contexts: newContextIndex(cfg.MaxContexts),
		blocks:   newBlockIndex(cfg.MaxBlocks),
	}
}

// SetServers replaces the list of servers. What was learned about servers that
// stay is kept; a server that is Leaving gets no new work from now on.
func (p *Picker) SetServers(_ time.Time, list []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*serverState, len(list))
	usable := make([]*serverState, 0, len(list))
	for _, server := range list {
		state, ok := p.servers[server.ID]
		if !ok {
			state = newServerState(server)
		}
		state.Server = server
		state.model = p.modelFor(server.Class)
		next[server.ID] = state
		if server.State != Leaving {
			usable = append(usable, state)
		}
	}
	p.servers = next
	p.usable = subset(p.cfg.Self, usable, p.cfg.SubsetSize)
}

func (p *Picker) modelFor(class string) *latencyModel {
	m, ok := p.models[class]
	if !ok {
		m = newLatencyModel()
		p.models[class] = m
	}
	return m
}

// Dispatched tells that a request was sent to server id.
func (p *Picker) Dispatched(now time.Time, id string, q Query) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[id]
	if !ok {
		return
	}
	uncached := q.PromptTokens - p.cachedTokens(&q, p.contexts.get(q.Context), s)
	s.recordChange(now, 1)
	s.addBacklog(now, float64(max(0, uncached)))
	p.contexts.put(q.Context, s, q.PromptTokens)
	for _, block := range q.PrefixHashes {
		putBlock(p.blocks.dispatched, block, s, 0)
	}
}

// FirstToken tells that the first token of a request arrived took after its
// dispatch. The choice is the one that Pick returned for the request.
func (p *Picker) FirstToken(_ time.Time, id string, took time.Duration, c Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[id]
	if !ok || c.features[0] == 0 || c.Server.ID != id {
		return
	}
	millis := took.Seconds() * 1000
	if c.modelTrained {
		const step, least, most = 0.05, 0.7, 1.5
		ratio := millis / max(1, s.model.predict(&c.features))
		s.latencyRatio += step * (min(max(ratio, least), most) - s.latencyRatio)
	}
	s.model.observe(&c.features, millis)
}

// Finished tells that a request ended at server id. Usage is the engine's, or
// zero if it is unknown; ok is false if the request failed.
func (p *Picker) Finished(now time.Time, id string, q Query, usage backend.Usage, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.servers[id]
	if !known {
		return
	}
	s.recordChange(now, -1)
	p.recordEnd(now)
	if !ok || usage.PromptTokens == 0 {
		p.contexts.removeOnFailure(q.Context, s, ok)
		return
	}
	p.contexts.put(q.Context, s, usage.PromptTokens+usage.CompletionTokens)
}

// noteEnd updates the mean time between ends.
func (p *Picker) recordEnd(now time.Time) {
	if !p.lastEnd.IsZero() {
		const weight = 8
		p.meanEndInterval += (now.Sub(p.lastEnd) - p.meanEndInterval) / weight
	}
	p.lastEnd = now
}

// Report takes a load report of server id. Reports lag; own dispatches and
// ends after load.MeasuredAt correct it. Clocks are assumed to agree within
// the lag of a report.
func (p *Picker) Report(now time.Time, id string, load backend.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.applyReport(now, load)
}

// CacheEvents takes the cache events from to to (inclusive) of server id:
// hashes of blocks stored and evicted. With gap, or if from does not follow
// the last event seen, everything learned from earlier events of the server is
// void; evictions are applied to own knowledge too.
func (p *Picker) CacheEvents(id string, from, to int64, stored, evicted []uint64, gap bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[id]
	if !ok || to <= s.lastCacheEvent {
		return
	}
	if gap || from > s.lastCacheEvent+1 {
		s.eventEpoch++
	}
	s.lastCacheEvent = to
	for _, block := range stored {
		putBlock(p.blocks.events, block, s, s.eventEpoch)
	}
	for _, block := range evicted {
		removeBlock(p.blocks.events, block, s)
		removeBlock(p.blocks.dispatched, block, s)
	}
}

// Load returns the mean load of the usable servers: 0 is idle, 1 is
// MaxConcurrentPerServer requests at each. Without servers it is 1.
func (p *Picker) Load(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.usable) == 0 {
		return 1
	}
	sum := 0.0
	for _, s := range p.usable {
		requests, _ := s.estimateLoad(now)
		sum += requests
	}
	return sum / float64(len(p.usable)*p.cfg.MaxConcurrentPerServer)
}

// CheapestPrice returns the lowest price per hour of a live server, 0 if there
// is none.
func (p *Picker) CheapestPrice() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	cheapest := 0.0
	for _, s := range p.servers {
		if s.State == Live && (cheapest == 0 || s.Price < cheapest) {
			cheapest = s.Price
		}
	}
	return cheapest
}
