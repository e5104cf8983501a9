package follow

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// Server is a backend server as listed in the registry.
type Server struct {
	ID      string
	Service string
	// Address is the server's "host:port".
	Address string
	Zone    string
	// Version is the version of the server's software; empty means unknown. A stream
	// that one version began must not be continued by another.
	Version string
	// Slots is the number of requests that the server runs concurrently; 0 means
	// unknown.
	Slots int
	// Incarnation is the server's start time in Unix milliseconds; 0 means
	// unknown. A server that restarts under the same ID has lost its state.
	Incarnation int64
	// Heartbeat increases with every write of the server's entry; 0 means unknown.
	Heartbeat   int64
	Reclaimable bool
	// Leaving is true if the server has announced its shutdown: it gets no new
	// work.
	Leaving bool
}

// tombstone records the last known state of a server that was seen leaving or was
// removed, so that delayed writes of its entry are recognised.
type tombstone struct {
	incarnation, heartbeat int64
	recordedAt             time.Duration
	// wasLeaving is true if the server itself announced its shutdown.
	wasLeaving bool
}

const (
	// reregistrationGrace is how long after the store's recovery a backend server
	// is kept although its entry has expired. Live servers register again within
	// about 2 s; a server that left must get no work from 2 s after the store
	// reported its removal.
	reregistrationGrace = 1600 * time.Millisecond
	// tombstoneTTL is how long a tombstone is kept; delayed writes arrive within
	// seconds.
	tombstoneTTL = 10 * time.Minute
	// minOutage is the shortest store outage during which leases may expire.
	minOutage = time.Second
)

// Servers is the view of the registry of backend servers. It is safe for
// concurrent use.
//
// Invariants: a server that was seen leaving gets no new work before it starts a
// new incarnation. A server whose entry was removed gets no new work before a
// newer heartbeat or incarnation is seen.
type Servers struct {
	decode   func(key string, value []byte) (Server, error)
	prefix   string
	clock    clock.Clock
	log      *telemetry.Logger
	onChange func([]Server)

	// passOn is held while a list is made and passed on, and is locked before mu. A list
	// is therefore never passed on after a newer one.
	passOn sync.Mutex

	mu      sync.Mutex
	servers map[string]Server
	// changes counts the changes, and passedOn those of them that the last list held.
	changes, passedOn int
	// tombstones holds a record of each server that was seen leaving or removed,
	// by ID.
	tombstones map[string]tombstone
	// keptUntil holds the servers whose entries expired during a store outage, and
	// the time until which each is kept.
	keptUntil map[string]time.Duration
	// lost holds those of keptUntil whose entries the store has lost. isRestored is
	// true until the first full read after that.
	lost       map[string]bool
	isRestored bool
	// unreadable holds the servers whose entries could not be decoded, so that each
	// is logged once.
	unreadable map[string]bool
	// graceEnd is the time until which servers that are missing after an outage
	// are kept.
	graceEnd time.Duration
}

// NewServers returns an empty view of the registry under prefix. onChange is
// called with the whole list, sorted by ID, after each change and each full read of
// the registry, or once for several of them. It is not called concurrently, and must not
// call the view.
func NewServers(prefix string, decode func(string, []byte) (Server, error), c clock.Clock, log *telemetry.Logger, onChange func([]Server)) *Servers {
	return &Servers{
		prefix: prefix, decode: decode, clock: c, log: log, onChange: onChange,
		servers: map[string]Server{}, tombstones: map[string]tombstone{}, keptUntil: map[string]time.Duration{}, lost: map[string]bool{}, unreadable: map[string]bool{},
	}
}

func (s *Servers) listLocked() []Server {
	list := make([]Server, 0, len(s.servers))
	for _, server := range s.servers {
		list = append(list, server)
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Replace implements Sink.
func (s *Servers) Replace(entries []kv.Entry) {
	s.mu.Lock()
	s.expireLocked()
	present := map[string]bool{}
	for _, e := range entries {
		id := e.Key[len(s.prefix):]
		present[id] = true
		s.putLocked(e)
	}
	kept := 0
	for id := range s.servers {
		switch {
		case present[id]:
		case s.isRestored:
			s.lost[id] = true
			s.keepLocked(id, s.clock()+reregistrationGrace)
			kept++
		case s.removeLocked(id):
			kept++
		}
	}
	s.isRestored = false
	if kept > 0 {
		s.log.Log(EvServersKept, "servers", kept, "grace_ms", reregistrationGrace.Milliseconds())
	}
	s.unlockAndNotify(true)
}

// unlockAndNotify unlocks the view. If the view has changed, it returns once onChange was
// called with a list that has the change.
func (s *Servers) unlockAndNotify(isChanged bool) {
	if !isChanged {
		s.mu.Unlock()
		return
	}
	s.changes++
	change := s.changes
	s.mu.Unlock()
	s.passOn.Lock()
	defer s.passOn.Unlock()
	s.mu.Lock()
	if s.passedOn >= change {
		s.mu.Unlock()
		return
	}
	s.passedOn = s.changes
	list := s.listLocked()
	s.mu.Unlock()
	s.onChange(list)
}

// Apply implements Sink.
func (s *Servers) Apply(events []kv.Event) {
	s.mu.Lock()
	changed := false
	for _, e := range events {
		if e.Deleted {
			id := e.Entry.Key[len(s.prefix):]
			if _, known := s.servers[id]; known {
				changed = !s.removeLocked(id) || changed
			}
			continue
		}
		changed = s.putLocked(e.Entry) || changed
	}
	s.unlockAndNotify(s.expireLocked() || changed)
}

// expireInterval is the time between checks for expired grace periods and
// tombstones.
const expireInterval = 100 * time.Millisecond

// Run drops servers whose grace period has ended, until ctx ends. It always
// returns nil.
func (s *Servers) Run(ctx context.Context) error {
	for wait.For(ctx, expireInterval) {
		s.expire()
	}
	return nil
}

func (s *Servers) expire() {
	s.mu.Lock()
	s.unlockAndNotify(s.expireLocked())
}

// MarkLeaving records that a server has announced its shutdown otherwise than in
// the registry, which may learn of it later. It does nothing if the incarnation is
// not the current one.
func (s *Servers) MarkLeaving(id string, incarnation int64) {
	s.mu.Lock()
	server, known := s.servers[id]
	if !known || server.Leaving || server.Incarnation != incarnation {
		s.unlockAndNotify(false)
		return
	}
	server.Leaving = true
	s.servers[id] = server
	s.tombstones[id] = tombstone{incarnation: incarnation, heartbeat: server.Heartbeat, recordedAt: s.clock(), wasLeaving: true}
	s.log.Log(EvServerChanged, "server", id, "service", server.Service, "server_zone", server.Zone, "address", server.Address,
		"state", stateName(server), "born", incarnation, "told_by", "server")
	s.unlockAndNotify(true)
}

// StoreRestored implements Sink. Servers that the next Replace lacks are kept for the
// grace period, in which their lost entries are written again.
func (s *Servers) StoreRestored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isRestored = true
}

// StoreRecovered implements Sink. After an outage that was long enough for leases
// to expire it starts the grace period in which servers may register again.
func (s *Servers) StoreRecovered(lost time.Duration) {
	if lost < minOutage {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graceEnd = s.clock() + reregistrationGrace
}

// putLocked adds or updates the server of one entry and reports whether the view
// changed.
func (s *Servers) putLocked(e kv.Entry) bool {
	id := e.Key[len(s.prefix):]
	next, err := s.decode(e.Key, e.Value)
	if err != nil {
		if !s.unreadable[id] {
			s.unreadable[id] = true
			s.log.Log(EvServerUnreadable, "server", id, "revision", e.ModRevision, "error", err.Error())
		}
		if _, known := s.servers[id]; known {
			s.dropLocked(id, "unreadable")
			return true
		}
		return false
	}
	delete(s.unreadable, id)
	delete(s.keptUntil, id)
	delete(s.lost, id)
	old, known := s.servers[id]
	if s.isOutdated(next, old, known) {
		s.log.Log(EvServerOutdated, "server", id, "born", next.Incarnation, "beat", next.Heartbeat, "revision", e.ModRevision)
		return false
	}
	if t, hasTombstone := s.tombstones[id]; hasTombstone && t.wasLeaving && t.incarnation == next.Incarnation {
		next.Leaving = true
	}
	if next.Leaving {
		s.tombstones[id] = tombstone{incarnation: next.Incarnation, heartbeat: next.Heartbeat, recordedAt: s.clock(), wasLeaving: true}
	}
	s.servers[id] = next
	if old.Heartbeat = next.Heartbeat; known && old == next {
		return false
	}
	s.log.Log(EvServerChanged, "server", id, "service", next.Service, "server_zone", next.Zone, "address", next.Address,
		"version", next.Version, "state", stateName(next), "born", next.Incarnation, "revision", e.ModRevision)
	return true
}

// isOutdated reports whether an entry is older than the known state of its
// server: a delayed write may be executed after a later one, or after the removal
// of the entry.
func (s *Servers) isOutdated(next, old Server, known bool) bool {
	if known {
		return next.Incarnation < old.Incarnation || (next.Incarnation == old.Incarnation && next.Heartbeat < old.Heartbeat)
	}
	t, hasTombstone := s.tombstones[next.ID]
	return hasTombstone && (next.Incarnation < t.incarnation || (next.Incarnation == t.incarnation && next.Heartbeat <= t.heartbeat))
}

func stateName(s Server) string {
	if s.Leaving {
		return "leaving"
	}
	return "ready"
}

// removeLocked drops a server whose entry was removed. During the grace period
// after an outage it keeps the server instead, and reports that.
func (s *Servers) removeLocked(id string) (kept bool) {
	if now := s.clock(); now < s.graceEnd {
		s.keepLocked(id, s.graceEnd)
		return true
	}
	s.dropLocked(id, "gone")
	return false
}

// keepLocked keeps a server without an entry until the given time, or an earlier one
// that was set before.
func (s *Servers) keepLocked(id string, until time.Duration) {
	if _, isKept := s.keptUntil[id]; !isKept {
		s.keptUntil[id] = until
	}
}

// dropLocked removes a server from the view and leaves a tombstone. A lost entry may
// be written again with the same heartbeat.
func (s *Servers) dropLocked(id, state string) {
	old := s.servers[id]
	heartbeat := old.Heartbeat
	if s.lost[id] {
		heartbeat--
	}
	s.tombstones[id] = tombstone{incarnation: old.Incarnation, heartbeat: heartbeat, recordedAt: s.clock(), wasLeaving: old.Leaving}
	delete(s.lost, id)
	delete(s.servers, id)
	delete(s.keptUntil, id)
	s.log.Log(EvServerChanged, "server", id, "service", old.Service, "server_zone", old.Zone, "version", old.Version, "state", state, "born", old.Incarnation)
}

// expireLocked drops expired tombstones and the servers whose grace period has
// ended. It reports whether the view changed.
func (s *Servers) expireLocked() bool {
	now := s.clock()
	changed := false
	for id, t := range s.tombstones {
		if _, known := s.servers[id]; !known && now-t.recordedAt > tombstoneTTL {
			delete(s.tombstones, id)
		}
	}
	for id, until := range s.keptUntil {
		if now >= until {
			s.dropLocked(id, "gone")
			changed = true
		}
	}
	return changed
}
