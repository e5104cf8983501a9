package route

import (
	"slices"
	"time"
)

// makeChoice returns the Choice for the candidate with index best, with the
// costs of the cheapest candidates.
func (p *Picker) makeChoice(best int, reason string) Choice {
	c := &p.candidates[best]
	costs := make([]CandidateCost, 0, min(MaxCandidateCosts, len(p.candidates)))
	for i := range p.candidates {
		p.candidates[i].cost.ID = p.candidates[i].server.ID
		costs = insertCost(costs, &p.candidates[i].cost)
	}
	if !slices.ContainsFunc(costs, func(t CandidateCost) bool { return t.ID == c.server.ID }) {
		costs[len(costs)-1] = c.cost
	}
	usual := time.Duration(0)
	if c.server.model.isTrained() {
		usual = time.Duration(c.server.model.predict(&c.features) * float64(time.Millisecond))
	}
	return Choice{
		Server: c.server.Server, Reason: reason, Candidates: costs,
		ExpectedCachedTokens: c.cost.CachedTokens,
		PredictedFirstToken:  time.Duration(c.cost.Latency * float64(time.Millisecond)),
		UsualFirstToken:      usual,
		features:             c.features,
		modelTrained:         c.server.model.isTrained(),
	}
}

// insertCost inserts cost into costs, which stays sorted by total cost and
// within its capacity; the most expensive one is dropped.
func insertCost(costs []CandidateCost, cost *CandidateCost) []CandidateCost {
	if len(costs) < cap(costs) {
		costs = append(costs, *cost)
	} else if cost.Total >= costs[len(costs)-1].Total {
		return costs
	}
	i := len(costs) - 1
	for ; i > 0 && costs[i-1].Total > cost.Total; i-- {
		costs[i] = costs[i-1]
	}
	costs[i] = *cost
	return costs
}
