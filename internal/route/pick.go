package route

import "time"

const (
	// homeLoadFactor bounds the load of a context's home server to this multiple
	// of the mean load, as in consistent hashing with bounded loads. Above the
	// bound the context spills to the next server in rendezvous order.
	homeLoadFactor = 2
	// minSpillRequests is the number of requests per unit of weight up to which a
	// home server never spills.
	minSpillRequests = 24
	// homeCachedShare is the share of a prompt that is assumed to be cached at
	// the context's home server if nothing else is known. It is a constant,
	// because a value learned during an overload would remove all affinity, and
	// that makes the overload worse.
	homeCachedShare = 0.9
	// hysteresisMillis and hysteresisShare are the absolute and relative margin
	// by which another server must be cheaper before a context moves to it.
	hysteresisMillis = 20
	hysteresisShare  = 0.1
	// targetPenaltyFactor is the penalty for each millisecond of latency above
	// the share targetPenaltyStart of the first-token target.
	targetPenaltyFactor = 4
	targetPenaltyStart  = 0.8
	// firstTokenDelayShare is the share of Query.MaxFirstTokenDelay above which
	// the predicted time to the first token leads to a refusal.
	firstTokenDelayShare = 0.9
	// minRetryAfter is the smallest SaturatedError.RetryAfter.
	minRetryAfter = 50 * time.Millisecond
)

// candidate is a server that is eligible for the current request.
type candidate struct {
	server   *serverState
	requests float64
	waiting  float64
	cost     CandidateCost
	features features
}

// Pick selects a server for q. It returns *NoServerError if no server is
// eligible, and *SaturatedError if all eligible ones are at their concurrency
// limit or the predicted time to the first token is too long. Pick does not count
// the request as load; call RecordDispatch when it is sent.
func (p *Picker) Pick(q Query) (Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	full := p.collectCandidates(&q, Live)
	if len(p.candidates) == 0 && !full {
		full = p.collectCandidates(&q, Suspect)
	}
	if len(p.candidates) == 0 {
		if full {
			return Choice{}, &SaturatedError{Service: q.Service, RetryAfter: max(minRetryAfter, p.meanEndInterval)}
		}
		return Choice{}, &NoServerError{Service: q.Service, VMClass: q.VMClass}
	}
	previous := p.contexts.get(q.Context)
	home := p.homeCandidate(&q)
	anyCached := p.computeCosts(&q, previous, home)
	best, reason := p.selectCandidate(&q, previous, home, anyCached)
	if excess := p.candidates[best].firstTokenExcess(&q); excess > 0 {
		return Choice{}, &SaturatedError{Service: q.Service, RetryAfter: max(minRetryAfter, excess), FirstTokenLate: true}
	}
	return p.makeChoice(best, reason), nil
}

// firstTokenExcess returns by how much the predicted time to the first token
// exceeds the allowed share of q.MaxFirstTokenDelay, or 0. It is always 0 for a
// server with little load, so that a wrong prediction is corrected by new
// observations.
func (c *candidate) firstTokenExcess(q *Query) time.Duration {
	if q.MaxFirstTokenDelay <= 0 || !c.server.model.isTrained() || c.requests < 2*c.server.weight() {
		return 0
	}
	predicted := time.Duration(c.cost.Latency * float64(time.Millisecond))
	return max(0, predicted-time.Duration(firstTokenDelayShare*float64(q.MaxFirstTokenDelay)))
}

// collectCandidates sets p.candidates to the eligible servers in the given state
// and reports whether any was skipped because of its concurrency limit.
func (p *Picker) collectCandidates(q *Query, state State) (full bool) {
	p.candidates = p.candidates[:0]
	for _, s := range p.usable {
		if s.State != state || (q.VMClass != "" && s.Class != q.VMClass) {
			continue
		}
		if q.Exclude != nil && q.Exclude(s.ID) {
			continue
		}
		if s.inFlight >= p.cfg.MaxConcurrentPerServer {
			full = true
			continue
		}
		c := p.appendCandidate()
		c.server = s
		c.requests, c.waiting = s.estimateLoad(q.Now)
	}
	return full
}

// appendCandidate adds a candidate to p.candidates and returns it. Its fields may
// hold values of an earlier call; collectCandidates and computeCost set them all.
func (p *Picker) appendCandidate() *candidate {
	if n := len(p.candidates); n < cap(p.candidates) {
		p.candidates = p.candidates[:n+1]
	} else {
		p.candidates = append(p.candidates, candidate{})
	}
	return &p.candidates[len(p.candidates)-1]
}

// homeCandidate returns the index of the context's home server: the first candidate
// in rendezvous order whose load is within the bound. All entries expect the
// context to be cached there. It returns -1 if there is no context or all
// candidates are above the bound.
func (p *Picker) homeCandidate(q *Query) int {
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
	bound := max(minSpillRequests, homeLoadFactor*requests/weight)
	best, bestScore := -1, 0.0
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.requests > bound*c.server.weight() {
			continue
		}
		score := hashToUnit(q.Context, c.server.hash)
		if !equal {
			score = rendezvous(q.Context, c.server.hash, c.server.weight())
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// computeCosts computes the costs of all candidates and reports whether any of
// them is expected to have a part of the prompt in its cache.
func (p *Picker) computeCosts(q *Query, previous *holders, home int) (anyCached bool) {
	knownBlocks := p.blocks.leadingHeldByAny(q.PrefixHashes)
	for i := range p.candidates {
		c := &p.candidates[i]
		cached := p.cachedTokensUpTo(q, previous, c.server, knownBlocks)
		if i == home {
			cached = max(cached, int(homeCachedShare*float64(q.PromptTokens)))
		}
		if q.MaxCachedTokens > 0 {
			cached = min(cached, q.MaxCachedTokens)
		}
		anyCached = anyCached || cached > 0
		p.computeCost(q, c, cached)
	}
	return anyCached
}

// computeCost sets the features and the cost of one candidate.
func (p *Picker) computeCost(q *Query, c *candidate, cached int) {
	s := c.server
	uncached := float64(q.PromptTokens - cached)
	c.features = makeFeatures(uncached, s.remainingBacklog(q.Now), c.requests/s.weight(), c.waiting/s.weight())
	latency := s.model.predict(&c.features) * s.slowdown(c.requests)
	penalty := targetPenalty(latency, p.cfg.Target.FirstTokenMillis)
	t := &c.cost
	t.Latency, t.TargetPenalty = latency, penalty
	t.Recompute = uncached * p.cfg.Weights.RecomputedTokenMillis
	t.Price = s.Price / s.weight() * p.cfg.Weights.PriceMillis
	t.Total = t.Latency + t.TargetPenalty + t.Recompute + t.Price
	t.CachedTokens, t.Requests = cached, c.requests
}

// targetPenalty returns the penalty for a latency close to or above its target;
// both are in milliseconds, and a target of 0 means none. The penalty is bounded,
// because a request that misses the target anyway should go to the server that has
// its prompt in the cache.
func targetPenalty(latency, target float64) float64 {
	if target <= 0 || latency <= targetPenaltyStart*target {
		return 0
	}
	return targetPenaltyFactor * (min(latency, target) - targetPenaltyStart*target)
}

// cachedTokens returns the number of prompt tokens that s is known to have in its
// cache.
func (p *Picker) cachedTokens(q *Query, previous *holders, s *serverState) int {
	return p.cachedTokensUpTo(q, previous, s, len(q.PrefixHashes))
}

// cachedTokensUpTo is like cachedTokens, but looks up only the given number of
// leading blocks.
func (p *Picker) cachedTokensUpTo(q *Query, previous *holders, s *serverState, blocks int) int {
	if len(q.PrefixHashes) > 0 {
		return min(q.PromptTokens, p.blocks.leadingHeldBy(q.PrefixHashes[:blocks], s)*p.cfg.BlockTokens)
	}
	if previous == nil {
		return 0
	}
	i := previous.find(s)
	if i < 0 {
		return 0
	}
	return min(q.PromptTokens, previous.list[i].tokens)
}

// selectCandidate returns the index of the selected candidate and the reason.
func (p *Picker) selectCandidate(q *Query, previous *holders, home int, anyCached bool) (int, string) {
	if len(p.candidates) == 1 {
		return 0, ReasonSingleCandidate
	}
	if !anyCached {
		return p.twoChoices(), ReasonTwoChoices
	}
	best := 0
	for i := range p.candidates {
		if p.candidates[i].cost.Total < p.candidates[best].cost.Total {
			best = i
		}
	}
	if kept := p.applyHysteresis(previous, best); kept != best {
		return kept, ReasonHysteresis
	}
	switch {
	case best == home && p.blocks.leadingHeldBy(q.PrefixHashes, p.candidates[best].server) == 0:
		return best, ReasonHome
	case p.candidates[best].cost.CachedTokens > 0:
		return best, ReasonPrefix
	default:
		return best, ReasonCost
	}
}

// twoChoices returns the index of the cheaper of two random candidates.
func (p *Picker) twoChoices() int {
	a := p.rng.IntN(len(p.candidates))
	b := p.rng.IntN(len(p.candidates) - 1)
	if b >= a {
		b++
	}
	if p.candidates[b].cost.Total < p.candidates[a].cost.Total {
		return b
	}
	return a
}

// applyHysteresis returns the index of the candidate that ran the context last,
// or best if that is cheaper by more than the margin.
func (p *Picker) applyHysteresis(previous *holders, best int) int {
	if previous == nil || previous.count == 0 {
		return best
	}
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.server != previous.list[0].server {
			continue
		}
		least := p.candidates[best].cost.Total
		if c.cost.Total <= least+max(hysteresisMillis, hysteresisShare*least) {
			return i
		}
	}
	return best
}
