package rollout

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Server is a registered backend server.
type Server struct {
	ID, Service, Version string
	Slots                int
	IsLeaving            bool
}

// Route says which servers of a service a request may be sent to.
type Route struct {
	// Versions are the allowed versions; nil allows all.
	Versions map[string]bool
	// Excluded holds the IDs of servers that are left out although their version is allowed.
	Excluded map[string]bool
	// IsExposed is true if the request goes to the version that is being rolled out.
	IsExposed bool
}

const (
	// trialLoad is how many servers of the new version take part in the trial: so many for
	// each that its share of the requests would need at the old version. More requests
	// than the old servers have would make it look slow, few would not show what load does.
	trialLoad = 1.5
	// minTrialServers is the least number, so that one that is broken by itself is told
	// from a bad version.
	minTrialServers = 2
	// catchUp limits the part of requests that goes to the new version while its share has
	// not been used up, as a multiple of the share.
	catchUp = 6
	// versionMemory is how long a version is remembered after its last server has left.
	versionMemory = 30 * time.Second
	// readAfter is the age of the last statement from which on an entry that needs one reads
	// the orders for itself.
	readAfter = 1500 * time.Millisecond
)

// Gate decides at one entry which versions requests may be sent to. It answers the load of
// an order under full traffic at 1 to hundreds of entries, any of which may be cut off, be
// restarted or learn late: each sends to the new version at most a fixed share of the
// requests that it has itself since it knows of the order, and nothing without a recent
// statement. It is safe for concurrent use.
//
// Invariants: a version with an order that is not completed gets no request beyond the
// share. A version that appears beside another one gets none before it is known whether
// there is an order for it.
type Gate struct {
	bounds Bounds

	mu        sync.Mutex
	statement Statement
	// isInformed is true once there is a statement. issuedAt and confirmedAt are its times
	// by this entry's clock.
	isInformed            bool
	issuedAt, confirmedAt time.Duration
	orders                map[string]*knownOrder
	services              map[string]*serviceVersions
	// startCredit, from 0 to 1, is added to the number of requests that may go to a new
	// version. It differs between the entries, which makes up for that each sends whole
	// requests only: over many entries, the mean of the numbers rounded down is the share.
	startCredit float64
}

// knownOrder is an order and what this entry has sent since it knows it.
type knownOrder struct {
	KnownOrder
	all, exposed int64
}

// KnownOrder is an order as an entry knows it. Deadline, by the entry's clock, is valid if
// IsStated: if a holder has told of the order.
type KnownOrder struct {
	OrderState
	Deadline time.Duration
	IsStated bool
}

// serviceVersions holds the registered servers of a service.
type serviceVersions struct {
	byVersion map[string]*versionServers
}

type versionServers struct {
	servers             []Server
	firstSeen, lastSeen time.Duration
	// isCleared is true once it is known that the version may serve without an order.
	isCleared bool
}

// NewGate returns a gate that knows no servers and no orders. startCredit is a random number
// from 0 to 1.
func NewGate(b Bounds, startCredit float64) *Gate {
	return &Gate{bounds: b, startCredit: startCredit, orders: map[string]*knownOrder{}, services: map[string]*serviceVersions{}}
}

// SetServers replaces the registered servers.
func (g *Gate) SetServers(now time.Duration, list []Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.services {
		for _, v := range s.byVersion {
			v.servers = nil
		}
	}
	for _, server := range list {
		s, ok := g.services[server.Service]
		if !ok {
			s = &serviceVersions{byVersion: map[string]*versionServers{}}
			g.services[server.Service] = s
		}
		v, ok := s.byVersion[server.Version]
		if !ok {
			v = &versionServers{firstSeen: now}
			s.byVersion[server.Version] = v
		}
		v.servers, v.lastSeen = append(v.servers, server), now
	}
	for name, s := range g.services {
		maps.DeleteFunc(s.byVersion, func(_ string, v *versionServers) bool {
			return len(v.servers) == 0 && now-v.lastSeen > versionMemory
		})
		if len(s.byVersion) == 0 {
			delete(g.services, name)
		}
	}
	g.clearLocked()
}

// clearLocked clears versions that may serve without an order: the only one of a service,
// and those that were there when the orders were read.
func (g *Gate) clearLocked() {
	for name, s := range g.services {
		for version, v := range s.byVersion {
			isOrdered := g.isOrderedLocked(name, version)
			isOnly := len(s.byVersion) == 1
			isKnown := g.isInformed && g.confirmedAt >= v.firstSeen
			v.isCleared = !isOrdered && (v.isCleared || isOnly || isKnown)
		}
	}
}

// isOrderedLocked reports whether an order decides about a version.
func (g *Gate) isOrderedLocked(service, version string) bool {
	order := g.orders[service]
	return order != nil && (order.To == version || slices.Contains(order.Barred, version))
}

// NeedsReading reports whether a version waits for a statement that does not come, so that
// the orders should be read.
func (g *Gate) NeedsReading(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isInformed {
		return true
	}
	if now-g.issuedAt < readAfter {
		return false
	}
	for name, s := range g.services {
		for version, v := range s.byVersion {
			if !v.isCleared && !g.isOrderedLocked(name, version) {
				return true
			}
		}
	}
	return false
}

// IsInformed reports whether the orders are known at all.
func (g *Gate) IsInformed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isInformed
}

// Learn takes a statement in, unless what is known is newer, and returns the orders that are
// new or in another phase by it. A statement with token 0 holds what this entry has read and
// adds to what it knows.
func (g *Gate) Learn(now time.Duration, s Statement) (changed []OrderState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	issuedAt, confirmedAt := now-millis(s.AgeMillis), now-millis(s.AgeMillis)-millis(s.ConfirmedMillis)
	set := func(o OrderState) *knownOrder {
		known := g.orders[o.Service]
		if known == nil || known.ID != o.ID || known.Phase != o.Phase {
			changed = append(changed, o)
		}
		return g.setOrderLocked(o)
	}
	if s.Token == 0 {
		g.isInformed, g.confirmedAt = true, max(g.confirmedAt, confirmedAt)
		for _, o := range s.Orders {
			known := g.orders[o.Service]
			if known != nil && known.IsStated && o.ID < known.ID {
				continue // an earlier order, from a copy of the store
			}
			if known == nil || !known.IsSame(&Order{ID: o.Seen, To: o.To}) || !known.Phase.IsFinal() && o.Phase.IsFinal() {
				set(o)
			}
		}
		g.clearLocked()
		return changed
	}
	if s.Token < g.statement.Token || s.Token == g.statement.Token && s.Number <= g.statement.Number {
		return nil
	}
	g.statement, g.isInformed, g.issuedAt, g.confirmedAt = s, true, issuedAt, max(g.confirmedAt, confirmedAt)
	stated := map[string]bool{}
	for _, o := range s.Orders {
		stated[o.Service] = true
		known := set(o)
		known.Deadline, known.IsStated = issuedAt+millis(o.LeftMillis), true
	}
	maps.DeleteFunc(g.orders, func(service string, _ *knownOrder) bool { return !stated[service] })
	g.clearLocked()
	return changed
}

// IsRunning reports whether an order has no outcome yet, so that answers are counted.
func (g *Gate) IsRunning() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, order := range g.orders {
		if !order.Phase.IsFinal() {
			return true
		}
	}
	return false
}

func (g *Gate) setOrderLocked(o OrderState) *knownOrder {
	known := g.orders[o.Service]
	if known == nil || known.ID != o.ID || known.To != o.To {
		known = &knownOrder{}
		g.orders[o.Service] = known
	}
	known.OrderState = o
	return known
}

// Current returns the latest statement as it is passed on, nil if there is none.
func (g *Gate) Current(now time.Duration) *Statement {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.statement.Token == 0 {
		return nil
	}
	s := g.statement
	s.AgeMillis = (now - g.issuedAt).Milliseconds()
	return &s
}

// ConfirmedAt returns when the orders were last known to be as stated.
func (g *Gate) ConfirmedAt() (at time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.confirmedAt, g.isInformed
}

// Known returns the order of a service.
func (g *Gate) Known(service string) (o KnownOrder, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.orders[service]
	if !ok {
		return KnownOrder{}, false
	}
	return known.KnownOrder, true
}

// Stated returns the orders that a holder has told of.
func (g *Gate) Stated() []KnownOrder {
	g.mu.Lock()
	defer g.mu.Unlock()
	var orders []KnownOrder
	for _, order := range g.orders {
		if order.IsStated {
			orders = append(orders, order.KnownOrder)
		}
	}
	return orders
}

// Versions returns the versions of a service whose servers are registered, or were lately.
func (g *Gate) Versions(service string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.byVersion))
}

// Places returns the number of places at a service's servers that accept requests, by
// version. A server whose places are unknown counts as one.
func (g *Gate) Places(service string) map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	slots := map[string]int{}
	if s := g.services[service]; s != nil {
		for version, v := range s.byVersion {
			for _, server := range v.accepting() {
				slots[version] += max(1, server.Slots)
			}
		}
	}
	return slots
}

// Choose returns where a request of a service may be sent, and counts it. luck is from 0 to 1.
func (g *Gate) Choose(now time.Duration, service string, luck float64) Route {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, order := g.services[service], g.orders[service]
	if order != nil && !order.Phase.IsFinal() {
		order.all++
	}
	if s == nil || order == nil && s.isCleared() {
		return Route{}
	}
	if order != nil && g.mayExposeLocked(now, order, luck) {
		if route, ok := s.exposed(order, g.bounds.Share); ok {
			order.exposed++
			return route
		}
	}
	return Route{Versions: s.open(order)}
}

// Open returns where a request may be sent without exposure, and counts nothing.
func (g *Gate) Open(service string) Route {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[service]; s != nil {
		return Route{Versions: s.open(g.orders[service])}
	}
	return Route{}
}

// ChooseOld returns where a request may be sent without exposure, and counts it.
func (g *Gate) ChooseOld(service string) Route {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, order := g.services[service], g.orders[service]
	if order != nil && !order.Phase.IsFinal() {
		order.all++
	}
	if s == nil {
		return Route{}
	}
	return Route{Versions: s.open(order)}
}

// Withdraw undoes the count of a request that was not sent as the route says.
func (g *Gate) Withdraw(service string, r Route) {
	g.mu.Lock()
	defer g.mu.Unlock()
	order := g.orders[service]
	if order == nil || order.Phase.IsFinal() {
		return
	}
	order.all = max(0, order.all-1)
	if r.IsExposed {
		order.exposed = max(0, order.exposed-1)
	}
}

// MayContinue reports whether a stream that a version began may be sent to it again, and
// counts that.
func (g *Gate) MayContinue(now time.Duration, service, version string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	order := g.orders[service]
	switch {
	case order == nil:
		return true
	case order.To != version || order.isOpen():
		return !slices.Contains(order.Barred, version)
	}
	if !order.Phase.isExposing() || now-g.issuedAt > g.bounds.MaxPermissionAge() {
		return false
	}
	order.all++
	if order.Phase != PhaseCommit && float64(order.exposed)+1 > g.limit(order, handOverFraction) {
		return false
	}
	order.exposed++
	return true
}

// stopsWithin is the time before the deadline of an order from which on the servers of the
// old versions may stop at any moment.
const stopsWithin = 2 * time.Second

// IsStopping reports whether the servers of a version stop because of an order that is
// completed, or may be: their connections break without a crash.
func (g *Gate) IsStopping(now time.Duration, service, version string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	order := g.orders[service]
	if order == nil || order.Phase == PhaseRolledBack || !slices.Contains(order.From, version) {
		return false
	}
	return order.Phase >= PhaseHandOver || order.IsStated && now > order.Deadline-stopsWithin
}

// limit returns the number of requests that may have gone to the new version.
func (g *Gate) limit(o *knownOrder, fraction float64) float64 {
	slack := 0.0
	if g.statement.Entries > 0 {
		slack = slackFraction * g.bounds.Slack / float64(g.statement.Entries)
	}
	return g.startCredit + slack + fraction*g.bounds.Share*float64(o.all)
}

// mayExposeLocked reports whether one more request may go to the version of the order.
func (g *Gate) mayExposeLocked(now time.Duration, o *knownOrder, luck float64) bool {
	if now-g.issuedAt > g.bounds.MaxPermissionAge() || len(o.From) == 0 {
		return false
	}
	next := float64(o.exposed) + 1
	switch o.Phase {
	case PhaseTrial:
		return next <= g.limit(o, trialFraction) && luck < catchUp*trialFraction*g.bounds.Share
	case PhaseSurge:
		return next <= g.limit(o, surgeFraction)
	case PhaseHandOver:
		return next <= g.limit(o, handOverFraction)
	case PhaseCommit:
		return true
	}
	return false
}

func (s *serviceVersions) isCleared() bool {
	for _, v := range s.byVersion {
		if !v.isCleared {
			return false
		}
	}
	return true
}

// open returns the versions that requests may be sent to without exposure; nil for all.
func (s *serviceVersions) open(order *knownOrder) map[string]bool {
	versions := map[string]bool{}
	for version, v := range s.byVersion {
		switch {
		case order != nil && order.To == version:
			if order.isOpen() {
				versions[version] = true
			}
		case order != nil && slices.Contains(order.Barred, version):
		case order != nil && order.Phase == PhaseCompleted && slices.Contains(order.From, version):
			// Its servers have stopped, or stop now.
		case v.isCleared, order != nil && slices.Contains(order.From, version):
			versions[version] = true
		}
	}
	if order == nil && !s.accepts(versions) {
		return nil // whatever the others are, there is nothing else
	}
	if order != nil && order.Phase == PhaseCompleted && !s.accepts(versions) {
		return nil // the view of the registry lags
	}
	return versions
}

// accepts reports whether a server of one of the versions accepts requests.
func (s *serviceVersions) accepts(versions map[string]bool) bool {
	for version := range versions {
		if len(s.byVersion[version].accepting()) > 0 {
			return true
		}
	}
	return false
}

func (v *versionServers) accepting() []Server {
	var list []Server
	for _, server := range v.servers {
		if !server.IsLeaving {
			list = append(list, server)
		}
	}
	return list
}

// exposed returns the route to the version of the order; ok is false if none of its servers
// accepts requests.
func (s *serviceVersions) exposed(order *knownOrder, share float64) (route Route, ok bool) {
	v := s.byVersion[order.To]
	if v == nil {
		return Route{}, false
	}
	servers := v.accepting()
	if len(servers) == 0 {
		return Route{}, false
	}
	route = Route{Versions: map[string]bool{order.To: true}, IsExposed: true}
	if order.Phase != PhaseTrial {
		return route, true
	}
	old := 0
	for version, other := range s.byVersion {
		if version != order.To {
			old += len(other.accepting())
		}
	}
	n := max(minTrialServers, int(math.Ceil(trialLoad*trialFraction*share*float64(old))))
	if n < len(servers) {
		// All entries choose the same ones.
		slices.SortFunc(servers, func(a, b Server) int { return cmp.Or(cmp.Compare(hashOf(a.ID), hashOf(b.ID)), cmp.Compare(a.ID, b.ID)) })
		route.Excluded = map[string]bool{}
		for _, server := range servers[n:] {
			route.Excluded[server.ID] = true
		}
	}
	return route, true
}

func hashOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// Recorder counts the answers of this entry to requests of services with an order.
type Recorder struct {
	Gate  *Gate
	Board *Board
}

// Record counts an answer of a server. took is the time that it took, scaled so that answers
// to requests of all sizes compare.
func (r *Recorder) Record(service, rule, version, server string, took time.Duration, isFailure bool) {
	if order := r.running(service, version); order != nil {
		r.Board.record(order, rule, version, server, func(c *Counts) { c.record(took, isFailure) })
	}
}

// RecordPace counts the mean time between the events of a stream that a server has ended.
func (r *Recorder) RecordPace(service, rule, version, server string, pace time.Duration) {
	if order := r.running(service, version); order != nil {
		r.Board.record(order, rule, version, server, func(c *Counts) { c.recordPace(pace) })
	}
}

// running returns the order of a service if answers of the version are counted.
func (r *Recorder) running(service, version string) *OrderState {
	order, ok := r.Gate.Known(service)
	if !ok || order.Phase.IsFinal() || slices.Contains(order.Barred, version) {
		return nil
	}
	return &order.OrderState
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
