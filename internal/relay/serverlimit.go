package relay

import (
	"context"
	"time"

	"buckthornpick/internal/upstream"
)

// A server with a limit takes a number of requests a second from all entries together.
// One entry permits the requests to it: the first one in the rendezvous order of the
// server's ID. All others ask it before each request, and do not choose the server
// until a time that it names. Entries also tell each other the limits that they hear of.

const (
	// permitShare is the part of a limit that is permitted. Two entries may permit for
	// one server while their views of the site differ.
	permitShare = 0.75
	// maxUnusedPermits limits the permits that collect while no entry asks.
	maxUnusedPermits = 2
	// minPermitsPerSecond lets a request through now and then whatever the limit, since
	// only answers tell that it has ended.
	minPermitsPerSecond = 0.05
	// maxPermitWait limits the time after which an entry asks again.
	maxPermitWait = 5 * time.Second
	// permitTimeout limits the wait for a permit, and unreachablePermitWait is the time
	// after which an entry asks again if there was no answer.
	permitTimeout         = 100 * time.Millisecond
	unreachablePermitWait = time.Second
	// maxPermitRequests limits the servers for which a request asks for a permit.
	maxPermitRequests = 3
	// endedLimitRetention is how long entries tell each other that a limit has ended.
	endedLimitRetention = 10 * time.Second
	// limitAgeSlack is the least difference in age by which the same limit counts as
	// heard again, so that passing it on does not make it younger.
	limitAgeSlack = time.Second
)

// limitState is the state of a server's limit.
type limitState struct {
	ServerLimit
	// heardAt is the time of the answer that named the limit, or no limit any more; 0 if
	// none ever did. Times are those of the balancer's clock.
	heardAt time.Duration
	// pausedUntil is when this entry may ask for the next permit.
	pausedUntil time.Duration

	// The following fields are used at the entry that permits the requests.

	// tokens are the permits to give at refilledAt; refilledAt is 0 before the first
	// request for one.
	tokens     float64
	refilledAt time.Duration
	// nextSlot is the time at which the next entry that gets no permit should ask again.
	nextSlot time.Duration
}

// LimitReport is what an entry knows about the limit of a server.
type LimitReport struct {
	Incarnation int64   `msgpack:"i,omitempty"`
	IsNamed     bool    `msgpack:"n,omitempty"`
	PerSecond   float64 `msgpack:"r,omitempty"`
	// AgeMillis is the time since the server said so.
	AgeMillis int64 `msgpack:"a"`
}

// PermitRequest asks for the permission to send one request to a server.
type PermitRequest struct {
	Server string      `msgpack:"s"`
	Known  LimitReport `msgpack:"l"`
	// IsBrittle is true if the server is brittle. The request then takes a place there until
	// it is given back, or for RemainingMillis at most.
	IsBrittle       bool    `msgpack:"b,omitempty"`
	MaxTurnedAway   float64 `msgpack:"n,omitempty"`
	RemainingMillis int64   `msgpack:"t,omitempty"`
}

// Permit is the answer to the request for a permit.
type Permit struct {
	IsGranted bool `msgpack:"g"`
	// WaitMillis is the time until the asking entry should ask again.
	WaitMillis int64 `msgpack:"w"`
	// Known is what the permitting entry knows about the limit.
	Known LimitReport `msgpack:"l"`
}

// NoPermit is the answer if the entry that permits cannot be asked.
func NoPermit(known LimitReport) Permit {
	return Permit{WaitMillis: unreachablePermitWait.Milliseconds(), Known: known}
}

// recordLimit records what a response says about the server's limit. Only a success
// without a limit ends it, since responses of other kinds may come from elsewhere.
func (r *Relay) recordLimit(t upstream.Target, attemptID string, status int, info *ResponseInfo) {
	isStatement := info.Limit.IsNamed && !info.Limit.IsMalformed || !info.Limit.IsNamed && isSuccess(status) && info.Signed
	if !isStatement {
		return
	}
	if previous, isChanged := r.Balancer.setLimit(t, info.Limit); isChanged {
		r.Log.Log(EvServerLimitChanged, "request", attemptID, "server", t.ID, "is_limited", info.Limit.IsNamed,
			"per_second", info.Limit.PerSecond, "was_limited", previous.IsNamed, "previous_per_second", previous.PerSecond)
	}
}

// setLimit sets the limit of a server. It returns the previous one and whether that
// has changed.
func (b *Balancer) setLimit(t upstream.Target, limit ServerLimit) (previous ServerLimit, isChanged bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[t.ID]
	if !ok || s.target.Incarnation != t.Incarnation || s.limit.heardAt == 0 && !limit.IsNamed {
		return ServerLimit{}, false
	}
	previous = s.limit.ServerLimit
	s.limit.ServerLimit, s.limit.heardAt = limit, b.clock()
	return previous, previous != limit
}

// limitReport returns what is known about the server's limit.
func (s *server) limitReport(now time.Duration) LimitReport {
	return LimitReport{Incarnation: s.Incarnation, IsNamed: s.limit.IsNamed, PerSecond: s.limit.PerSecond, AgeMillis: (now - s.limit.heardAt).Milliseconds()}
}

// LimitReports returns what this entry knows about the limits of servers, by the
// server's ID.
func (b *Balancer) LimitReports() map[string]LimitReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	var reports map[string]LimitReport
	for id, s := range b.servers {
		if s.limit.heardAt == 0 || !s.limit.IsNamed && now-s.limit.heardAt > endedLimitRetention {
			continue
		}
		if reports == nil {
			reports = map[string]LimitReport{}
		}
		reports[id] = s.limitReport(now)
	}
	return reports
}

// MergeLimits merges the reports of another entry. It returns those that changed a
// limit.
func (b *Balancer) MergeLimits(reports map[string]LimitReport) map[string]LimitReport {
	if len(reports) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	changed := map[string]LimitReport{}
	for id, r := range reports {
		if s, ok := b.servers[id]; ok && s.mergeLimit(now, r) {
			changed[id] = r
		}
	}
	return changed
}

// mergeLimit merges a report and reports whether it changed the limit.
func (s *server) mergeLimit(now time.Duration, r LimitReport) bool {
	heardAt := now - time.Duration(r.AgeMillis)*time.Millisecond
	limit := ServerLimit{IsNamed: r.IsNamed, PerSecond: r.PerSecond}
	isSame := limit == s.limit.ServerLimit
	switch {
	case r.Incarnation != s.Incarnation, heardAt <= s.limit.heardAt, !r.IsNamed && s.limit.heardAt == 0,
		isSame && heardAt < s.limit.heardAt+limitAgeSlack:
		return false
	}
	s.limit.ServerLimit, s.limit.heardAt = limit, heardAt
	return !isSame
}

// serversWithPermitLocked returns the IDs of the servers of a service for which a permit
// is needed.
func (b *Balancer) serversWithPermitLocked(service string) map[string]bool {
	ids := map[string]bool{}
	_, isBrittle := b.brittle[service]
	for id, s := range b.servers {
		if s.Service == service && (s.limit.IsNamed || isBrittle) {
			ids[id] = true
		}
	}
	return ids
}

// PermitSend decides, at the entry that permits the requests to the server, whether one
// more of the asking entry may be sent.
func (b *Balancer) PermitSend(entry string, r PermitRequest) Permit {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	s, ok := b.servers[r.Server]
	if !ok || s.Leaving || s.Incarnation != r.Known.Incarnation {
		return NoPermit(r.Known)
	}
	s.mergeLimit(now, r.Known)
	if r.IsBrittle {
		b.brittle[s.Service] = r.MaxTurnedAway
		if wait := s.waitForPlace(now); wait > 0 {
			return Permit{WaitMillis: wait.Milliseconds(), Known: s.limitReport(now)}
		}
	}
	isGranted, wait := true, time.Duration(0)
	if s.limit.IsNamed {
		isGranted, wait = s.limit.take(now)
	}
	if r.IsBrittle && isGranted {
		s.room.places = append(s.room.places, place{entry, now + time.Duration(r.RemainingMillis)*time.Millisecond})
	}
	return Permit{IsGranted: isGranted, WaitMillis: wait.Milliseconds(), Known: s.limitReport(now)}
}

// take takes a permit if there is one, and returns the time until the asking entry
// should ask again.
func (l *limitState) take(now time.Duration) (isGranted bool, wait time.Duration) {
	perSecond := max(permitShare*l.PerSecond, minPermitsPerSecond)
	interval := time.Duration(float64(time.Second) / perSecond)
	if l.refilledAt > 0 {
		l.tokens = min(maxUnusedPermits, l.tokens+perSecond*(now-l.refilledAt).Seconds())
	}
	l.refilledAt = now
	if l.tokens >= 1 {
		l.tokens--
		isGranted = true
	}
	untilToken := time.Duration(max(0, 1-l.tokens) * float64(interval))
	slot := min(max(l.nextSlot, now+untilToken), now+maxPermitWait)
	l.nextSlot = slot + interval
	return isGranted, slot - now
}

// recordPermit records the answer to the request for a permit. If the call may be sent it
// counts it and returns true; it may not if the server was restarted or leaves meanwhile.
func (b *Balancer) recordPermit(c *choice, p Permit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[c.target.ID]
	if !ok || s.Leaving || s.target.Incarnation != c.target.Incarnation {
		return false
	}
	now := b.clock()
	s.mergeLimit(now, p.Known)
	until := now + time.Duration(p.WaitMillis)*time.Millisecond
	if s.limit.IsNamed {
		s.limit.pausedUntil = until
	} else if !p.IsGranted {
		s.room.pausedUntil = until
	}
	if p.IsGranted {
		c.hasPlace = c.permit.IsBrittle
		b.countCallLocked(c, s)
	}
	return p.IsGranted
}

// pickAmong selects a server as Balancer.pick does, with a permit if one is needed, and by
// the load that servers state when they are asked.
func (q *request) pickAmong(ctx context.Context, maxTimeToFirstToken time.Duration, excluded, versions map[string]bool) (*choice, error) {
	c, err := q.pickPermitted(ctx, maxTimeToFirstToken, excluded, versions)
	if err != nil {
		return nil, err
	}
	return q.checkLoad(ctx, c), nil
}

// pickPermitted selects a server as Balancer.pick does. It asks for a permit if the server
// has named a limit or is brittle, and selects another one if there is none.
func (q *request) pickPermitted(ctx context.Context, maxTimeToFirstToken time.Duration, excluded, versions map[string]bool) (*choice, error) {
	for range maxPermitRequests {
		c, err := q.relay.Balancer.pick(q.service, &q.info, maxTimeToFirstToken, excluded, versions, true)
		if err != nil || c.permit == nil {
			return c, err
		}
		c.permit.RemainingMillis = time.Until(q.deadline).Milliseconds()
		permitCtx, cancel := context.WithTimeout(ctx, permitTimeout)
		permit := q.relay.Peers.RequestPermit(permitCtx, *c.permit)
		cancel()
		if q.relay.Balancer.recordPermit(c, permit) {
			return c, nil
		}
	}
	return q.relay.Balancer.pick(q.service, &q.info, maxTimeToFirstToken, excluded, versions, false)
}
