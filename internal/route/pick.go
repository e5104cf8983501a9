package route

import "time"

const (
	// loadBound is how far above the mean load a context's home may be before
	// the context spills to the next server of its rendezvous order.
	loadBound = 2
	// freeRequests is the load per unit of weight below which no home spills.
	freeRequests = 24
	// homeHit is the share of a prompt expected to be cached at its context's
	// home without other knowledge. It is no learned value: learning it lets
	// an overload end all affinity, and that makes the overload worse.
	homeHit = 0.9
	// keepMillis and keepShare are the margin by which another server must be
	// cheaper before a context moves.
	keepMillis = 20
	keepShare  = 0.1
	// pressureFactor is the cost of each millisecond beyond the share
	// pressureStart of the first-token target.
	pressureFactor = 4
	pressureStart  = 0.8
	// lateTolerance is the factor by which a prediction must exceed the bound
	// before a request is refused for it.
	lateTolerance = 0.9
	// minRetryAfter is the least advice given with ErrSaturated.
	minRetryAfter = 50 * time.Millisecond
)

// candidate is one server under consideration.
type candidate struct {
	server   *serverState
	requests float64
	waiting  float64
	terms    CandidateCost
	features features
}

// Pick chooses a server for q. It returns *ErrNoServer if no server may get the
// request and *ErrSaturated if all that may are full. Pick itself changes no
// load; tell Dispatched when the request is sent.
func (p *Picker) Pick(q Query) (Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	full := p.collect(&q, Live)
	if len(p.candidates) == 0 && !full {
		full = p.collect(&q, Suspect)
	}
	if len(p.candidates) == 0 {
		if full {
			return Choice{}, &SaturatedError{Service: q.Service, RetryAfter: max(minRetryAfter, p.endInterval)}
		}
		return Choice{}, &NoServerError{Service: q.Service, VMClass: q.VMClass}
	}
	past := p.contexts.get(q.Context)
	home := p.home(&q)
	informed := p.weigh(&q, past, home)
	best, reason := p.choose(&q, past, home, informed)
	if excess := p.candidates[best].lateness(&q); excess > 0 {
		return Choice{}, &SaturatedError{Service: q.Service, RetryAfter: max(minRetryAfter, excess), FirstTokenLate: true}
	}
	return p.choice(best, reason), nil
}

// lateness returns by how much the first token is predicted to exceed
// q.FirstTokenWithin; 0 if it does not. A server with hardly any work always
// gets the request, so that a wrong prediction is corrected by observations.
func (c *candidate) lateness(q *Query) time.Duration {
	if q.MaxFirstTokenDelay <= 0 || !c.server.model.learned() || c.requests < 2*c.server.weight() {
		return 0
	}
	predicted := time.Duration(c.terms.Latency * float64(time.Millisecond))
	return max(0, predicted-time.Duration(lateTolerance*float64(q.MaxFirstTokenDelay)))
}

// collect fills candidates with the servers in state that may get q and
// reports whether any was left out for being full.
func (p *Picker) collect(q *Query, state State) (full bool) {
	p.candidates = p.candidates[:0]
	for _, s := range p.usable {
		if s.State != state || (q.VMClass != "" && s.Class != q.VMClass) {
			continue
		}
		if q.Exclude != nil && q.Exclude(s.ID) {
			continue
		}
		if s.own >= p.cfg.MaxConcurrentPerServer {
			full = true
			continue
		}
		c := p.nextCandidate()
		c.server = s
		c.requests, c.waiting = s.load(q.Now)
	}
	return full
}

// nextCandidate adds a candidate without clearing what an earlier decision left
// in it; collect and cost set every field.
func (p *Picker) nextCandidate() *candidate {
	if n := len(p.candidates); n < cap(p.candidates) {
		p.candidates = p.candidates[:n+1]
	} else {
		p.candidates = append(p.candidates, candidate{})
	}
	return &p.candidates[len(p.candidates)-1]
}

// home returns the candidate that every entry expects to hold the context: the
// first in rendezvous order whose load is within the bound. It is -1 without a
// context or if all are above the bound.
func (p *Picker) home(q *Query) int {
	if q.Context == 0 {
		return -1
	}
	requests, weight, first := 1.0, 0.0, p.candidates[0].server.weight()
	equal := true
	for i := range p.candidates {
		w := p.candidates[i].server.weight()
		requests += p.candidates[i].requests
		weight += w
		equal = equal && w == first
	}
	bound := max(freeRequests, loadBound*requests/weight)
	best, bestScore := -1, 0.0
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.requests > bound*c.server.weight() {
			continue
		}
		score := unit(q.Context, c.server.hash)
		if !equal {
			score = rendezvous(q.Context, c.server.hash, c.server.weight())
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// weigh computes the terms of all candidates and reports whether any of them
// is expected to hold some of the prompt.
func (p *Picker) weigh(q *Query, past *holders, home int) (informed bool) {
	known := p.blocks.known(q.PrefixHashes)
	for i := range p.candidates {
		c := &p.candidates[i]
		cached := p.rememberedUpTo(q, past, c.server, known)
		if i == home {
			cached = max(cached, int(homeHit*float64(q.PromptTokens)))
		}
		if q.MaxCachedTokens > 0 {
			cached = min(cached, q.MaxCachedTokens)
		}
		informed = informed || cached > 0
		p.cost(q, c, cached)
	}
	return informed
}

// cost fills the terms of one candidate.
func (p *Picker) cost(q *Query, c *candidate, cached int) {
	s := c.server
	uncached := float64(q.PromptTokens - cached)
	c.features = makeFeatures(uncached, s.backlog(q.Now), c.requests/s.weight(), c.waiting/s.weight())
	latency := s.model.predict(&c.features) * s.slowness
	pressure := pressureAbove(latency, p.cfg.Target.FirstTokenMillis)
	t := &c.terms
	t.Latency, t.TargetPenalty = latency, pressure
	t.Recompute = uncached * p.cfg.Weights.RecomputedTokenMillis
	t.Price = s.Price / s.weight() * p.cfg.Weights.PriceMillis
	t.Total = t.Latency + t.TargetPenalty + t.Recompute + t.Price
	t.CachedTokens, t.Requests = cached, c.requests
}

// pressureAbove is the cost of a latency near or above its target; both are in
// milliseconds and a target of 0 is none. It is bounded, because a request that
// misses the target anyway should stay with its cache.
func pressureAbove(latency, target float64) float64 {
	if target <= 0 || latency <= pressureStart*target {
		return 0
	}
	return pressureFactor * (min(latency, target) - pressureStart*target)
}

// remembered returns the prompt tokens that s is known to hold.
func (p *Picker) remembered(q *Query, past *holders, s *serverState) int {
	return p.rememberedUpTo(q, past, s, len(q.PrefixHashes))
}

// rememberedUpTo is remembered with a bound on the leading blocks that are
// worth looking up.
func (p *Picker) rememberedUpTo(q *Query, past *holders, s *serverState, blocks int) int {
	if len(q.PrefixHashes) > 0 {
		return min(q.PromptTokens, p.blocks.matched(q.PrefixHashes[:blocks], s)*p.cfg.BlockTokens)
	}
	if past == nil {
		return 0
	}
	i := past.find(s)
	if i < 0 {
		return 0
	}
	return min(q.PromptTokens, past.list[i].tokens)
}

// choose chooses among the weighed candidates.
func (p *Picker) choose(q *Query, past *holders, home int, informed bool) (int, string) {
	if len(p.candidates) == 1 {
		return 0, ReasonSingleCandidate
	}
	if !informed {
		return p.twoChoices(), ReasonTwoChoices
	}
	best := 0
	for i := range p.candidates {
		if p.candidates[i].terms.Total < p.candidates[best].terms.Total {
			best = i
		}
	}
	if kept := p.keep(past, best); kept != best {
		return kept, ReasonHysteresis
	}
	switch {
	case best == home && p.blocks.matched(q.PrefixHashes, p.candidates[best].server) == 0:
		return best, ReasonHome
	case p.candidates[best].terms.CachedTokens > 0:
		return best, ReasonPrefix
	default:
		return best, ReasonCost
	}
}

// twoChoices returns the cheaper of two random candidates.
func (p *Picker) twoChoices() int {
	a := p.rng.IntN(len(p.candidates))
	b := p.rng.IntN(len(p.candidates) - 1)
	if b >= a {
		b++
	}
	if p.candidates[b].terms.Total < p.candidates[a].terms.Total {
		return b
	}
	return a
}

// keep returns the candidate that ran the context last unless best is cheaper
// by more than the margin.
func (p *Picker) keep(past *holders, best int) int {
	if past == nil || past.count == 0 {
		return best
	}
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.server != past.list[0].server {
			continue
		}
		least := p.candidates[best].terms.Total
		if c.terms.Total <= least+max(keepMillis, keepShare*least) {
			return i
		}
	}
	return best
}
