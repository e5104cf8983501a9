package follow

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
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
	Born        int64
	Reclaimable bool
	// Leaving servers get no new work.
	Leaving bool
}

const (
	// returnGrace is how long after the store's return a backend server whose
	// entry has lapsed is kept: living ones are back in about 2 s.
	returnGrace = 1900 * time.Millisecond
	// outageLeast is the gap between confirmations from which the store counts
	// as having been away: entries lapse after three heartbeats of about 1 s.
	outageLeast = 2500 * time.Millisecond
)

// Servers is the view of the registry of backend servers.
//
// Invariant: a server that was seen leaving or removed gets no new work again
// unless it was born anew.
type Servers struct {
	decode   func(key string, value []byte) (Server, error)
	prefix   string
	clock    clock.Clock
	log      *telemetry.Logger
	onChange func([]Server)

	mu      sync.Mutex
	servers map[string]Server
	// left holds the birth of each server that was seen leaving or gone.
	left map[string]int64
	// missing holds servers that lapsed during an outage, until when they stay.
	missing map[string]time.Duration
	bad     map[string]bool
	read    time.Duration // clock of the last read
	graceTo time.Duration
}

// NewServers returns an empty view. OnChange gets the whole list after changes.
func NewServers(prefix string, decode func(string, []byte) (Server, error), c clock.Clock, log *telemetry.Logger, onChange func([]Server)) *Servers {
	return &Servers{
		prefix: prefix, decode: decode, clock: c, log: log, onChange: onChange,
		servers: map[string]Server{}, left: map[string]int64{}, missing: map[string]time.Duration{}, bad: map[string]bool{},
	}
}

// List returns the known servers by ID.
func (s *Servers) List() []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listLocked()
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
	s.noteReadLocked()
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
		s.log.Log(EvServerKept, "servers", kept, "grace_ms", returnGrace.Milliseconds())
	}
	list := s.listLocked()
	s.mu.Unlock()
	s.onChange(list)
}

// Apply implements Sink.
func (s *Servers) Apply(events []kv.Event) {
	s.mu.Lock()
	s.noteReadLocked()
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
	list := s.listLocked()
	s.mu.Unlock()
	if changed {
		s.onChange(list)
	}
}

// Confirmed notes that the store answered without changes, and drops servers
// whose grace has ended.
func (s *Servers) Confirmed() {
	s.mu.Lock()
	s.noteReadLocked()
	changed := s.expireLocked()
	list := s.listLocked()
	s.mu.Unlock()
	if changed {
		s.onChange(list)
	}
}

// noteReadLocked opens the time of grace after an outage of the store.
func (s *Servers) noteReadLocked() {
	now := s.clock()
	if s.read != 0 && now-s.read > outageLeast {
		s.graceTo = now + returnGrace
	}
	s.read = now
}

// putLocked takes one entry and reports whether the view changed.
func (s *Servers) putLocked(e kv.Entry) bool {
	id := e.Key[len(s.prefix):]
	next, err := s.decode(e.Key, e.Value)
	if err != nil {
		if !s.bad[id] {
			s.bad[id] = true
			s.log.Log(EvServerBad, "server", id, "revision", e.ModRevision, "error", err.Error())
		}
		if _, known := s.servers[id]; known {
			s.dropLocked(id, "unreadable")
			return true
		}
		return false
	}
	delete(s.bad, id)
	delete(s.missing, id)
	if born, hasLeft := s.left[id]; hasLeft && born == next.Born {
		next.Leaving = true
	}
	if next.Leaving {
		s.left[id] = next.Born
	}
	old, known := s.servers[id]
	if known && old == next {
		return false
	}
	s.servers[id] = next
	s.log.Log(EvServer, "server", id, "service", next.Service, "server_zone", next.Zone, "address", next.Address,
		"state", stateWord(next), "born", next.Born, "revision", e.ModRevision)
	return true
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
	s.left[id] = old.Born
	delete(s.servers, id)
	delete(s.missing, id)
	s.log.Log(EvServer, "server", id, "service", old.Service, "server_zone", old.Zone, "state", state, "born", old.Born)
}

func (s *Servers) expireLocked() bool {
	now := s.clock()
	changed := false
	for id, until := range s.missing {
		if now >= until {
			s.dropLocked(id, "gone")
			changed = true
		}
	}
	return changed
}
