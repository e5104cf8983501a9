package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/backend"
)

// Picker selects backend servers of one service on one entry node. It is safe
// for concurrent use.
//
// Lock order: no other lock is taken while mu is held. Query.Exclude is the only
// callback that runs under mu, so it must not call the picker.
type Picker struct {
	mu  sync.Mutex
	cfg Config
	rng *rand.Rand

	// servers holds all servers of the last SetServers call, by ID.
	servers map[string]*serverState
	// usable is this entry's subset of the servers that are not Leaving, ordered
	// by ID.
	usable []*serverState
	// models holds the latency models by VM class.
	models map[string]*latencyModel

	contexts contextIndex
	blocks   blockIndex
	// meanEndInterval is the moving average of the time between completions of
	// this entry's requests.
	meanEndInterval time.Duration
	lastEnd         time.Time

	// candidates is reused by successive calls of Pick.
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

// SetServers replaces the list of servers. The state of servers that remain in
// the list is kept; servers that are Leaving get no new requests.
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

// RecordDispatch records that a request was sent to server id.
func (p *Picker) RecordDispatch(now time.Time, id string, q Query) {
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

// CancelDispatch records that a request that RecordDispatch has recorded for the server of c
// goes to another one instead. What the server was expected to have in its cache is kept.
func (p *Picker) CancelDispatch(now time.Time, q Query, c Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[c.Server.ID]
	if !ok {
		return
	}
	s.recordChange(now, -1)
	s.backlogTokens = max(0, s.remainingBacklog(now)-float64(q.PromptTokens-c.ExpectedCachedTokens))
	s.backlogAt = now
	if c.ExpectedCachedTokens == 0 {
		p.contexts.removeOnFailure(q.Context, s, false)
	}
}

// RecordFirstToken records the time between the dispatch of a request and its first
// token. c is the Choice that Pick returned for the request.
func (p *Picker) RecordFirstToken(_ time.Time, id string, took time.Duration, c Choice) {
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

// RecordFinish records that a request ended on server id. usage is as reported by
// the engine, or zero if unknown; ok is false if the request failed.
func (p *Picker) RecordFinish(now time.Time, id string, q Query, usage backend.Usage, ok bool) {
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

// recordEnd updates the mean time between completions.
func (p *Picker) recordEnd(now time.Time) {
	if !p.lastEnd.IsZero() {
		const weight = 8
		p.meanEndInterval += (now.Sub(p.lastEnd) - p.meanEndInterval) / weight
	}
	p.lastEnd = now
}

// ApplyLoadReport applies a load report of server id. Because reports are delayed, the
// load is corrected by this entry's dispatches and completions after
// load.MeasuredAt. The clocks of server and entry are assumed to differ by less
// than the delay of a report.
func (p *Picker) ApplyLoadReport(now time.Time, id string, load backend.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.applyReport(now, load)
}

// ApplyCapacity sets how long work takes at server id as a multiple of what is usual at its
// like, which replaces what this entry has learned itself, and the number of requests from
// which on more only make all slower. 0 is unknown.
func (p *Picker) ApplyCapacity(id string, speed float64, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.servers[id]; ok {
		s.speed, s.limit = speed, limit
	}
}

// CacheEvents applies the cache events with the numbers from to to (inclusive) of
// server id: the hashes of blocks stored and evicted. If gap is true or from does
// not follow the last event applied, all blocks learned from earlier events of the
// server are invalidated. Evictions also remove blocks learned from dispatches.
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

// Load returns the mean load of the usable servers: 0 means idle, 1 means
// Config.MaxConcurrentPerServer requests on each. Without servers it is 1.
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

// CheapestPrice returns the lowest price per hour of a live server, or 0 if
// there is none.
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
