package relay

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"time"

	"buckthornpick/internal/capacity"
	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/route"
	"buckthornpick/internal/upstream"
)

// Servers that share their machines become slow and fast again several times a second, and
// what entries tell each other of their calls is older than that. Where servers state how
// long work takes there, an entry asks the server that it has chosen for its load just
// before it sends a request, and others only if that server does not take it well.

const (
	// loadQueryTimeout limits a query of a server's load. A request waits less for it, but a
	// late answer keeps its connection. It exceeds the time to open one.
	loadQueryTimeout = 400 * time.Millisecond
	// checkedShare is the share of the latency target, or of the target gap of streams, from
	// which on the predicted time to the first event of a stream makes a check worth its
	// round trip: the streams that run beside it pause while its prompt is read.
	checkedShare = 0.25
)

// recordLoad records what a response says of its server's load.
func (r *Relay) recordLoad(t upstream.Target, attemptID string, status int, info *ResponseInfo) {
	if !info.IsLoadStated {
		return
	}
	isTurnedAway := info.NotRun && status == http.StatusServiceUnavailable
	if isTurnedAway {
		r.instruments.turnedAway.Inc(1)
	}
	if r.Balancer.RecordLoad(t, info.Load, isTurnedAway) {
		r.Log.Log(EvLoadDistrusted, "request", attemptID, "server", t.ID, "running", info.Load.Running, "waiting", info.Load.Waiting, "slots", info.Load.Slots)
	}
}

// RecordLoad records a statement of a server. It returns true if the server's statements
// are not used from now on, since it turned a request away although it states room.
func (b *Balancer) RecordLoad(t upstream.Target, stated capacity.Statement, isTurnedAway bool) (isDistrusted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[t.ID]
	if !ok || s.target.Incarnation != t.Incarnation {
		return false
	}
	b.statesSlowness[s.Service] = stated.StatesSlowness()
	if isTurnedAway {
		return s.load.RecordTurnedAway(b.clock(), stated)
	}
	s.load.Record(b.clock(), stated)
	return false
}

// recordCheck records what a server states when it is asked, if that is usable. It returns
// true if the server is not asked for a while from now on.
func (b *Balancer) recordCheck(t upstream.Target, stated capacity.Statement, isUsable bool) (isPaused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[t.ID]
	if !ok || s.target.Incarnation != t.Incarnation {
		return false
	}
	if isUsable {
		s.load.Record(b.clock(), stated)
	}
	return s.load.RecordCheck(b.clock(), isUsable)
}

// recordUnreachable records that no connection to a server could be opened.
func (b *Balancer) recordUnreachable(t upstream.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.servers[t.ID]; ok && s.target.Incarnation == t.Incarnation {
		s.health.recordUnreachable(b.clock())
		b.detectZoneOutageLocked(s.Zone, b.clock())
	}
}

// healthPathOf returns the path under which the server of c states its load, empty if it is
// not to be asked.
func (b *Balancer) healthPathOf(c *choice) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[c.target.ID]
	if !ok || b.document == nil || !b.statesSlowness[c.query.Service] || !s.load.IsCheckable(b.clock()) {
		return ""
	}
	service := b.document.Service(c.query.Service)
	if service == nil {
		return ""
	}
	return service.HealthPath
}

// checkLoad asks the server of c for its load, and returns c if the server takes the request
// well. Otherwise it asks others and returns the choice of the one with the earliest
// expected answer. A server that does not answer in time counts as unknown.
func (q *request) checkLoad(ctx context.Context, c *choice) *choice {
	path := q.loadQueryPath(c)
	if path == "" {
		return c
	}
	q.relay.instruments.loadChecks.Inc(1)
	choices, candidates := []*choice{c}, []capacity.Candidate{q.relay.Balancer.candidateOf(c)}
	q.queryLoads(ctx, path, choices, candidates)
	if candidates[0].TakesWell() {
		return c
	}
	for _, other := range q.alternativesTo(c) {
		candidate := q.relay.Balancer.candidateOf(other)
		if candidates[0].MayBeBetter(&candidate) {
			choices, candidates = append(choices, other), append(candidates, candidate)
		}
	}
	if len(choices) == 1 {
		return c
	}
	q.queryLoads(ctx, path, choices[1:], candidates[1:])
	best := choices[capacity.Choose(candidates)]
	if best == c || !q.relay.Balancer.moveCall(c, best) {
		return c
	}
	q.relay.instruments.loadMoves.Inc(1)
	return best
}

// loadQueryPath returns the path under which the server of c is asked for its load before
// the request is sent; empty if it is not worth it.
func (q *request) loadQueryPath(c *choice) string {
	if c.permit != nil || isQuick(q.policy, c.picked.PredictedFirstToken) || !q.relay.Pool.HasPath(c.target.Group) || capacity.SkipsCheck(q.policy.Repetition != config.RunOnce, capacity.Rand) {
		return ""
	}
	return q.relay.Balancer.healthPathOf(c)
}

// isQuick reports whether a stream with the given predicted time to its first event is over
// too soon at its server to be worth a check.
func isQuick(policy *config.CallPolicy, predicted time.Duration) bool {
	if !policy.Stream {
		return false
	}
	target := policy.TargetMillis
	if gap := policy.TargetGapMillis; gap > 0 {
		target = min(target, gap)
	}
	return predicted < millis(checkedShare*target)
}

// candidateOf returns the candidate of a choice; its load is not known yet.
func (b *Balancer) candidateOf(c *choice) capacity.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidate := capacity.Candidate{Latency: max(1, c.picked.PredictedFirstToken.Seconds()*1000)}
	if s, ok := b.servers[c.target.ID]; ok {
		candidate.Limit = s.estimate.Limit
	}
	for _, cost := range c.picked.Candidates {
		if cost.ID == c.target.ID {
			candidate.Cost = cost.Total - cost.Latency
		}
	}
	return candidate
}

// alternativesTo returns choices of other servers, which count as calls only once moveCall
// has moved one there.
func (q *request) alternativesTo(c *choice) []*choice {
	left := maps.Clone(q.tried)
	left[c.target.ID] = true
	var list []*choice
	for range capacity.MaxAlternatives {
		other := q.relay.Balancer.pickInstead(c, left)
		if other == nil {
			break
		}
		left[other.target.ID] = true
		list = append(list, other)
	}
	return list
}

// pickInstead selects another server for the request of c than those that are left out;
// nil if there is none that needs no permit.
func (b *Balancer) pickInstead(c *choice, left map[string]bool) *choice {
	query := c.query
	exclude := query.Exclude
	query.Exclude = func(id string) bool { return left[id] || exclude(id) }
	picked, err := c.picker.Pick(query)
	if err != nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[picked.Server.ID]
	if !ok || s.Leaving || s.limit.IsNamed || !s.load.IsCheckable(b.clock()) {
		return nil
	}
	other := *c
	other.target, other.zone, other.version, other.picked = s.target, s.Zone, s.Version, picked
	return &other
}

// moveCall counts the call of one choice as that of another one. It returns false if the
// other server leaves or was restarted meanwhile.
func (b *Balancer) moveCall(from, to *choice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[to.target.ID]
	if !ok || s.Leaving || s.target.Incarnation != to.target.Incarnation || s.stateAt(b.clock()) != route.Live {
		return false
	}
	if previous, ok := b.servers[from.target.ID]; ok && previous.target.Incarnation == from.target.Incarnation {
		previous.ownCalls = max(0, previous.ownCalls-1)
	}
	from.picker.CancelDispatch(from.query.Now, from.query, from.picked)
	b.prefillMeterLocked(from.query.Service).addTokens(from.picked.ExpectedCachedTokens - from.query.PromptTokens)
	b.countCallLocked(to, s)
	return true
}

// queryLoads asks the servers of the choices for their loads and sets those of the
// candidates that answer in time.
func (q *request) queryLoads(ctx context.Context, path string, choices []*choice, candidates []capacity.Candidate) {
	ctx, cancel := context.WithTimeout(ctx, capacity.CheckTime(millis(q.policy.TargetMillis)))
	defer cancel()
	type answer struct {
		index  int
		stated capacity.Statement
		ok     bool
	}
	answers := make(chan answer, len(choices))
	for i, c := range choices {
		go func() {
			stated, ok := q.relay.queryLoad(c.target, path)
			answers <- answer{i, stated, ok}
		}()
	}
	for range choices {
		select {
		case a := <-answers:
			candidates[a.index].Stated, candidates[a.index].IsKnown = a.stated, a.ok
		case <-ctx.Done():
			return
		}
	}
}

// queryLoad asks a server for its load and records the answer.
func (r *Relay) queryLoad(t upstream.Target, path string) (capacity.Statement, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), loadQueryTimeout)
	defer cancel()
	resp, err := r.Pool.Do(ctx, t, &upstream.Request{
		Method: http.MethodGet, URI: path, Host: t.Address, Header: http.Header{},
		Matches: func(_ int, h http.Header) bool { return r.Codec.MatchesAttempt("", h) }, // not a late response to an attempt
	})
	if fault.Is(err, fault.Exhausted) {
		return capacity.Statement{}, false // this entry has too few connections
	}
	stated, isUsable := capacity.Statement{}, false
	if err == nil {
		var id string
		id, stated, isUsable = r.Codec.InspectHealth(resp.Header)
		isUsable = isUsable && id == t.ID && stated.StatesSlowness()
		discardBody(resp)
	}
	if err != nil && !upstream.MayHaveBeenSent(err) {
		r.Balancer.recordUnreachable(t)
	} else if r.Balancer.recordCheck(t, stated, isUsable) {
		r.Log.Log(EvLoadChecksPaused, "server", t.ID, "error", fmt.Sprint(err))
	}
	return stated, isUsable
}
