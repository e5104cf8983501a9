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

// Server is a backend server as the registry shows it.
type Server struct {
	ID      string
	Service string
	// Address is "host:port".
	Address string
	Zone    string
	// Slots is the number of requests that it runs at once; 0 is unknown.
	Slots int
	// Born is the Unix millisecond of its start; 0 is unknown. A server that
	// starts again under its ID knows nothing of before.
	Incarnation int64
	// Beat rises with every write of the server's entry; 0 is unknown.
	Heartbeat   int64
	Reclaimable bool
	// Leaving servers get no new work.
	Leaving bool
}

// departure is how a server left.
type departure struct {
	born, beat int64
	at         time.Duration
	// isAnnounced: the server said itself that it leaves.
	isAnnounced bool
}

const (
	// returnGrace is how long after the store's return a backend server whose
	// entry has lapsed is kept: living ones are back in about 2 s, and one that
	// left must get nothing 2 s after the store said so.
	returnGrace = 1600 * time.Millisecond
	// departureMemory is how long a server that left is remembered; writes that
	// are carried out late come within seconds.
	departureMemory = 10 * time.Minute
	// outageLeast is the shortest outage in which entries may lapse.
	outageLeast = time.Second
)

// Servers is the view of the registry of backend servers.
//
// Invariant: a server that was seen leaving gets no new work again unless it was
// born anew; one whose entry was removed only if it has written since.
type Servers struct {
	decode   func(key string, value []byte) (Server, error)
	prefix   string
	clock    clock.Clock
	log      *telemetry.Logger
	onChange func([]Server)

	mu      sync.Mutex
	servers map[string]Server
	// left holds the servers that were seen leaving or gone.
	left map[string]departure
	// missing holds servers that lapsed during an outage, until when they stay.
	missing map[string]time.Duration
	bad     map[string]bool
	// graceTo is the clock up to which entries that are missing after an outage
	// may return.
	graceTo time.Duration
}

// NewServers returns an empty view. OnChange gets the whole list after changes.
func NewServers(prefix string, decode func(string, []byte) (Server, error), c clock.Clock, log *telemetry.Logger, onChange func([]Server)) *Servers {
	return &Servers{
		prefix: prefix, decode: decode, clock: c, log: log, onChange: onChange,
		servers: map[string]Server{}, left: map[string]departure{}, missing: map[string]time.Duration{}, bad: map[string]bool{},
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
		if !present[id] && s.removeLocked(id) {
			kept++
		}
	}
	if kept > 0 {
		s.log.Log(EvServersKept, "servers", kept, "grace_ms", returnGrace.Milliseconds())
	}
	s.unlock(true)
}

// unlock ends a change of the view, and tells of it if there was one.
func (s *Servers) unlock(isChanged bool) {
	if !isChanged {
		s.mu.Unlock()
		return
	}
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
	s.unlock(s.expireLocked() || changed)
}

// expireInterval is the time between looks at servers that were given time to
// return.
const expireInterval = 100 * time.Millisecond

// Run drops servers whose time to return has ended, until ctx ends.
func (s *Servers) Run(ctx context.Context) error {
	for wait.For(ctx, expireInterval) {
		s.expire()
	}
	return nil
}

func (s *Servers) expire() {
	s.mu.Lock()
	s.unlock(s.expireLocked())
}

// Regained implements Sink: entries that lapsed during an outage get time to
// return.
func (s *Servers) StoreRecovered(lost time.Duration) {
	if lost < outageLeast {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graceTo = s.clock() + returnGrace
}

// putLocked takes one entry and reports whether the view changed.
func (s *Servers) putLocked(e kv.Entry) bool {
	id := e.Key[len(s.prefix):]
	next, err := s.decode(e.Key, e.Value)
	if err != nil {
		if !s.bad[id] {
			s.bad[id] = true
			s.log.Log(EvServerUnreadable, "server", id, "revision", e.ModRevision, "error", err.Error())
		}
		if _, known := s.servers[id]; known {
			s.dropLocked(id, "unreadable")
			return true
		}
		return false
	}
	delete(s.bad, id)
	delete(s.missing, id)
	old, known := s.servers[id]
	if s.isOutdated(next, old, known) {
		s.log.Log(EvServerOutdated, "server", id, "born", next.Incarnation, "beat", next.Heartbeat, "revision", e.ModRevision)
		return false
	}
	if gone, hasLeft := s.left[id]; hasLeft && gone.isAnnounced && gone.born == next.Incarnation {
		next.Leaving = true
	}
	if next.Leaving {
		s.left[id] = departure{born: next.Incarnation, beat: next.Heartbeat, at: s.clock(), isAnnounced: true}
	}
	s.servers[id] = next
	if old.Heartbeat = next.Heartbeat; known && old == next {
		return false
	}
	s.log.Log(EvServerChanged, "server", id, "service", next.Service, "server_zone", next.Zone, "address", next.Address,
		"state", stateWord(next), "born", next.Incarnation, "revision", e.ModRevision)
	return true
}

// isOutdated reports whether an entry was written before what is known: a write
// of the server may be carried out late, also after its entry was removed.
func (s *Servers) isOutdated(next, old Server, known bool) bool {
	if known {
		return next.Incarnation < old.Incarnation || (next.Incarnation == old.Incarnation && next.Heartbeat < old.Heartbeat)
	}
	gone, hasLeft := s.left[next.ID]
	return hasLeft && (next.Incarnation < gone.born || (next.Incarnation == gone.born && next.Heartbeat <= gone.beat))
}

func stateWord(s Server) string {
	if s.Leaving {
		return "leaving"
	}
	return "ready"
}

// removeLocked drops a server whose entry is gone, or keeps it for the time of
// grace after an outage and reports true.
func (s *Servers) removeLocked(id string) (kept bool) {
	if now := s.clock(); now < s.graceTo {
		if _, isMissing := s.missing[id]; !isMissing {
			s.missing[id] = s.graceTo
		}
		return true
	}
	s.dropLocked(id, "gone")
	return false
}

func (s *Servers) dropLocked(id, state string) {
	old := s.servers[id]
	s.left[id] = departure{born: old.Incarnation, beat: old.Heartbeat, at: s.clock(), isAnnounced: old.Leaving}
	delete(s.servers, id)
	delete(s.missing, id)
	s.log.Log(EvServerChanged, "server", id, "service", old.Service, "server_zone", old.Zone, "state", state, "born", old.Incarnation)
}

func (s *Servers) expireLocked() bool {
	now := s.clock()
	changed := false
	for id, d := range s.left {
		if _, known := s.servers[id]; !known && now-d.at > departureMemory {
			delete(s.left, id)
		}
	}
	for id, until := range s.missing {
		if now >= until {
			s.dropLocked(id, "gone")
			changed = true
		}
	}
	return changed
}
