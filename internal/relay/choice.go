package relay

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/route"
	"buckthornpick/internal/upstream"
)

// choice is the server selected for a call, with the data that the picker needs
// when the call's first token arrives and when the call ends.
type choice struct {
	target upstream.Target
	zone   string
	// version is the version of the server's software.
	version string
	picked  route.Choice
	// ownPromptTokens is the number of prompt tokens that no other request shares.
	ownPromptTokens int
	query           route.Query
	picker          *route.Picker
	sentAt          time.Time
	// permit is set if the server has named a limit or is brittle: the call needs a permit,
	// and counts as one that runs at the server only once recordPermit has recorded it.
	permit *PermitRequest
	// hasPlace is true if the permit is that of a brittle server and must be given back.
	hasPlace bool
	// isAnswerRecorded is true if the time to the first token was recorded.
	isAnswerRecorded bool
	// via is the entry by way of which the call was made; empty if it was made directly.
	via string
	// isJudged is true once the answer was counted for the verdict about a new version.
	isJudged bool
	// firstEventAt is when the first event of this call arrived, and eventsBefore the number
	// of events of the stream before it.
	firstEventAt time.Time
	eventsBefore int
}

// estimatedRequests returns the number of requests at the server that the
// selection was based on.
func (c *choice) estimatedRequests() int {
	for _, t := range c.picked.Candidates {
		if t.ID == c.target.ID {
			return int(t.Requests)
		}
	}
	return 0
}

// prepare returns the picker of a service and the query for a request; see pick.
func (b *Balancer) prepare(service string, info *RequestInfo, maxTimeToFirstToken time.Duration, tried, versions map[string]bool, withPermit bool) (*route.Picker, route.Query) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	for _, s := range b.servers {
		if s.state != s.stateAt(now) {
			b.updatePickersLocked()
			break
		}
	}
	isAllowed := b.serversOfLocked(service, versions)
	var needsPermit map[string]bool
	if !withPermit {
		needsPermit = b.serversWithPermitLocked(service)
	}
	return b.pickerLocked(service), route.Query{
		Now: time.Now(), Service: service, Context: sharedPrefixHash(info), PromptTokens: info.PromptTokens, MaxCachedTokens: info.Shared.Tokens,
		MaxTokens: info.MaxTokens, MaxFirstTokenDelay: maxTimeToFirstToken,
		Exclude: func(id string) bool {
			return tried[id] || needsPermit[id] || versions != nil && !isAllowed[id]
		},
	}
}

// pick selects a server, other than those in tried, for a request, and only one of the
// given software versions unless versions is nil. A maxTimeToFirstToken of 0 is no limit.
// Servers for which a permit is needed are left out unless withPermit is set. Errors are
// those of route.Picker.
func (b *Balancer) pick(service string, info *RequestInfo, maxTimeToFirstToken time.Duration, tried, versions map[string]bool, withPermit bool) (*choice, error) {
	picker, q := b.prepare(service, info, maxTimeToFirstToken, tried, versions, withPermit)
	picked, err := picker.Pick(q)
	if err != nil {
		return nil, b.pausedError(service, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	s, ok := b.servers[picked.Server.ID]
	if !ok || s.Leaving {
		return nil, &route.NoServerError{Service: service}
	}
	c := &choice{target: s.target, zone: s.Zone, version: s.Version, picked: picked, ownPromptTokens: info.PromptTokens - info.Shared.Tokens, query: q, picker: picker, sentAt: q.Now}
	_, isBrittle := b.brittle[service]
	if s.limit.IsNamed || isBrittle {
		if s.limit.IsNamed {
			// Other requests do not ask as well until the answer has come.
			s.limit.pausedUntil = max(s.limit.pausedUntil, now+permitTimeout)
		}
		c.permit = &PermitRequest{Server: s.ID, Known: s.limitReport(now), IsBrittle: isBrittle, MaxTurnedAway: b.brittle[service]}
		return c, nil
	}
	b.countCallLocked(c, s)
	return c, nil
}

// countCallLocked counts the call as one that runs at the server.
func (b *Balancer) countCallLocked(c *choice, s *server) {
	s.ownCalls++
	b.prefillMeterLocked(c.query.Service).addTokens(c.query.PromptTokens - c.picked.ExpectedCachedTokens)
	c.picker.RecordDispatch(c.query.Now, s.ID, c.query)
}

// serversOfLocked returns the set of IDs of the service's servers of the given versions,
// nil if versions is nil.
func (b *Balancer) serversOfLocked(service string, versions map[string]bool) map[string]bool {
	if versions == nil {
		return nil
	}
	ids := map[string]bool{}
	for id, s := range b.servers {
		if s.Service == service && versions[s.Version] {
			ids[id] = true
		}
	}
	return ids
}

// pauseServer stops requests to a server for the given time, unless it was restarted
// meanwhile.
func (b *Balancer) pauseServer(t upstream.Target, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.servers[t.ID]; ok && s.target.Incarnation == t.Incarnation {
		s.pausedUntil = max(s.pausedUntil, b.clock()+d)
	}
}

// pauseEnd returns the end of the server's pauses.
func (s *server) pauseEnd() time.Duration {
	end := max(s.pausedUntil, s.room.pausedUntil)
	if s.limit.IsNamed {
		end = max(end, s.limit.pausedUntil)
	}
	return end
}

// neighbours returns up to n other servers of the server's availability zone that may
// get requests.
func (b *Balancer) neighbours(t upstream.Target, n int) []upstream.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	self, ok := b.servers[t.ID]
	if !ok {
		return nil
	}
	var list []upstream.Target
	for id, s := range b.servers {
		if len(list) < n && id != t.ID && s.Zone == self.Zone && !s.Leaving {
			list = append(list, s.target)
		}
	}
	return list
}

// isLeaving reports whether the server announced its shutdown, or is no longer
// registered.
func (b *Balancer) isLeaving(t upstream.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[t.ID]
	return !ok || s.Leaving || s.Incarnation != t.Incarnation
}

// pausedError replaces the error of a picker that knows no eligible server by a
// route.SaturatedError with the time until the first pause of a server ends, if any
// server of the service is paused.
func (b *Balancer) pausedError(service string, err error) error {
	var noServer *route.NoServerError
	if !errors.As(err, &noServer) {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now, first := b.clock(), time.Duration(0)
	for _, s := range b.servers {
		if s.Service != service || s.stateAt(now) != route.Paused {
			continue
		}
		if wait := s.pauseEnd() - now; first == 0 || wait < first {
			first = wait
		}
	}
	if first == 0 {
		return err
	}
	return &route.SaturatedError{Service: service, RetryAfter: first}
}

// sharedPrefixHash returns a hash of the longest prompt prefix that other requests
// may share, or 0 if there is none.
func sharedPrefixHash(info *RequestInfo) uint64 {
	if len(info.Shared.IDs) == 0 {
		return 0
	}
	return max(1, xxhash.Sum64String(info.Shared.LastID))
}

// recordFirstToken records that the first token of a call has arrived.
func (b *Balancer) recordFirstToken(c *choice) {
	now := time.Now()
	elapsed := now.Sub(c.sentAt)
	c.picker.RecordFirstToken(now, c.target.ID, elapsed, c.picked)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prefillMeterLocked(c.query.Service).recordFirstToken(c.ownPromptTokens, elapsed)
	c.isAnswerRecorded = true
	if usual := c.picked.UsualFirstToken; usual > 0 && c.via == "" {
		b.recordAnswerLocked(c.target.ID, c.target.Incarnation, elapsed.Seconds()/usual.Seconds())
	}
}

// prefillMeterLocked returns the prefill meter of the service and creates it if
// necessary.
func (b *Balancer) prefillMeterLocked(service string) *prefillMeter {
	m, ok := b.prefillMeters[service]
	if !ok {
		m = &prefillMeter{}
		b.prefillMeters[service] = m
	}
	return m
}

// healthSignal is the effect of the end of a call on the health of its server.
type healthSignal int

const (
	// signalServed: the server answered the call.
	signalServed healthSignal = iota
	// signalFailed: the server responded with a failure, or its response was lost.
	signalFailed
	// signalUnreachable: no connection to the server could be opened or written to.
	signalUnreachable
	// signalNeutral leaves the health as it is.
	signalNeutral
)

// finishCall removes the call from its server's calls and updates the server's
// health, unless the server was restarted since the call was sent.
func (b *Balancer) finishCall(c *choice, signal healthSignal) {
	usage := backend.Usage{}
	if signal == signalServed {
		usage.PromptTokens = c.query.PromptTokens
	}
	if c.hasPlace {
		b.returnPlace(c.permit.Server, c.target.Incarnation)
	}
	c.picker.RecordFinish(time.Now(), c.target.ID, c.query, usage, signal == signalServed)
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[c.target.ID]
	if !ok || s.target.Incarnation != c.target.Incarnation {
		return
	}
	if signal == signalServed && !c.isAnswerRecorded && c.query.PromptTokens == 0 && c.via == "" {
		b.recordAnswerLocked(s.ID, s.Incarnation, answerMillis(c))
	}
	s.ownCalls = max(0, s.ownCalls-1)
	switch now := b.clock(); signal {
	case signalServed, signalFailed:
		s.health.recordOutcome(now, signal == signalServed)
	case signalUnreachable:
		s.health.recordUnreachable(now)
		b.detectZoneOutageLocked(s.Zone, now)
	}
}

const (
	// minUnreachableInZone is the number of unreachable servers of another zone, and
	// minUnreachableFraction their fraction of its servers, from which the whole zone
	// counts as partitioned from this entry.
	minUnreachableInZone   = 2
	minUnreachableFraction = 0.4
	// zoneAvoidance is how long the servers of that zone are avoided. Partitions
	// last for seconds, and each send to such a server costs a caller the dial
	// timeout.
	zoneAvoidance = 1500 * time.Millisecond
)

// detectZoneOutageLocked marks all servers of another zone as avoided if several
// of them are unreachable. Without it, during a partition between zones each
// server of the zone would be tried in turn.
func (b *Balancer) detectZoneOutageLocked(zone string, now time.Duration) {
	if zone == b.zone {
		return
	}
	total, unreachable := 0, 0
	for _, s := range b.servers {
		if s.Zone == zone && !s.Leaving {
			total++
			if s.health.backoff > 0 && s.health.isSuspect(now) {
				unreachable++
			}
		}
	}
	if unreachable < minUnreachableInZone || float64(unreachable) < minUnreachableFraction*float64(total) {
		return
	}
	for _, s := range b.servers {
		if s.Zone == zone {
			s.health.avoidUntil(now + zoneAvoidance)
		}
	}
}
