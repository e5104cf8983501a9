package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/route"
	"buckthornpick/internal/upstream"
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
	for _, t := range c.picked.Candidates {
		if t.ID == c.target.ID {
			return int(t.Requests)
		}
	}
	return 0
}

// pick chooses a server for a request. Errors are those of route.Picker.
func (b *Balancer) pick(service string, facts *Facts, within time.Duration, tried map[string]bool) (*choice, error) {
	b.mu.Lock()
	now := b.clock()
	for _, s := range b.servers {
		if s.state != s.stateAt(now) {
			b.feedLocked()
			break
		}
	}
	picker := b.pickerLocked(service)
	b.mu.Unlock()
	q := route.Query{
		Now: time.Now(), Service: service, Context: contextOf(facts), PromptTokens: facts.PromptTokens, MaxCachedTokens: facts.SharedTokens(),
		MaxTokens: facts.MaxTokens, MaxFirstTokenDelay: within,
		Exclude: func(id string) bool { return tried[id] },
	}
	picked, err := picker.Pick(q)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[picked.Server.ID]
	if !ok || s.Leaving {
		return nil, &route.NoServerError{Service: service}
	}
	s.running++
	b.meterLocked(service).sent(facts.PromptTokens - picked.ExpectedCachedTokens)
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

// firstToken records when the first token of a call came.
func (b *Balancer) firstToken(c *choice) {
	now := time.Now()
	took := now.Sub(c.sentAt)
	c.picker.FirstToken(now, c.target.ID, took, c.picked)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.meterLocked(c.query.Service).firstToken(c.own, took)
}

func (b *Balancer) meterLocked(service string) *workMeter {
	m, ok := b.meters[service]
	if !ok {
		m = &workMeter{}
		b.meters[service] = m
	}
	return m
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
func (b *Balancer) done(c *choice, o outcome) {
	usage := backend.Usage{}
	if o == served {
		usage.PromptTokens = c.query.PromptTokens
	}
	c.picker.Finished(time.Now(), c.target.ID, c.query, usage, o == served)
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[c.target.ID]
	if !ok || s.target.Run != c.target.Run {
		return
	}
	s.running = max(0, s.running-1)
	switch now := b.clock(); o {
	case served, failed:
		s.health.observe(now, o == served)
	case unreachable:
		s.health.unreachable(now)
		b.judgeZoneLocked(s.Zone, now)
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
func (b *Balancer) judgeZoneLocked(zone string, now time.Duration) {
	if zone == b.zone {
		return
	}
	all, lost := 0, 0
	for _, s := range b.servers {
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
	for _, s := range b.servers {
		if s.Zone == zone {
			s.health.avoid(now + zoneAvoided)
		}
	}
}
