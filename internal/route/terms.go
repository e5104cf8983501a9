package route

import (
	"slices"
	"time"
)

// choice returns the decision for candidate best with the cheapest terms.
func (p *Picker) choice(best int, reason string) Choice {
	c := &p.candidates[best]
	terms := make([]CandidateCost, 0, min(MaxCandidateCosts, len(p.candidates)))
	for i := range p.candidates {
		p.candidates[i].terms.ID = p.candidates[i].server.ID
		terms = insertTerms(terms, &p.candidates[i].terms)
	}
	if !slices.ContainsFunc(terms, func(t CandidateCost) bool { return t.ID == c.server.ID }) {
		terms[len(terms)-1] = c.terms
	}
	return Choice{
		Server: c.server.Server, Reason: reason, Candidates: terms,
		ExpectedCachedTokens: c.terms.CachedTokens,
		PredictedFirstToken:  time.Duration(c.terms.Latency * float64(time.Millisecond)),
		features:             c.features,
		learned:              c.server.model.learned(),
	}
}

// insertTerms keeps terms ordered by cost and within its capacity.
func insertTerms(terms []CandidateCost, t *CandidateCost) []CandidateCost {
	if len(terms) < cap(terms) {
		terms = append(terms, *t)
	} else if t.Total >= terms[len(terms)-1].Total {
		return terms
	}
	i := len(terms) - 1
	for ; i > 0 && terms[i-1].Total > t.Total; i-- {
		terms[i] = terms[i-1]
	}
	terms[i] = *t
	return terms
}
