package relay

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"buckthornpick/internal/upstream"
)

// The servers of a service are brittle while their answers name how many requests each may
// turn away in a second before it falls over. Requests to them need permits, as those to
// servers with a limit do: the permitting entry keeps the calls of all entries at a server
// below its slots. A server that has turned a request away is left alone for a while.

const (
	// spareShare is the part of a brittle server's slots that is left free, at least one, since
	// an entry may send calls without a permit until it hears that the server is brittle.
	spareShare = 0.125
	// turnedAwayPause is how long a brittle server that has turned a request away gets no
	// calls, and turnedAwayShare the part of the calls that were there which it may get
	// afterwards.
	turnedAwayPause = time.Second
	turnedAwayShare = 0.75
	// roomGrowth is the part of its slots by which the calls at a brittle server may rise
	// in a second after it has turned requests away or has started.
	roomGrowth = 0.125
	// startShare is the part of its slots that a brittle server gets when it starts.
	startShare = 0.25
	// placeWait is how long an entry that got no place does not ask again.
	placeWait = 100 * time.Millisecond
	// fallSuspicion is how long after it turned a request away the end of a brittle server
	// counts as a fall, for which no content is blamed.
	fallSuspicion = 2 * time.Second
	// noticeInterval is the time in which entries tell each other only once that a server
	// has turned requests away.
	noticeInterval = 100 * time.Millisecond
)

// ServerBrittleness is what a response says about the brittleness of its server.
type ServerBrittleness struct {
	// IsNamed is true if the server is brittle.
	IsNamed bool
	// MaxTurnedAway is the number of requests that it can turn away in a second.
	MaxTurnedAway float64
}

// BrittleNotice tells other entries that the servers of a service are brittle, and which
// one has turned a request away, if any.
type BrittleNotice struct {
	Service       string  `msgpack:"s"`
	MaxTurnedAway float64 `msgpack:"n"`
	Server        string  `msgpack:"i,omitempty"`
	Incarnation   int64   `msgpack:"b,omitempty"`
}

// room is how many calls a brittle server gets.
type room struct {
	// most is the number of calls of all entries at the time at; at is zero if the server
	// has neither turned a request away nor started while it was brittle.
	most float64
	at   time.Duration
	// turnedAwayAt is when the server last turned a request away; 0 is never.
	turnedAwayAt time.Duration
	// pausedUntil is when this entry may ask for a place again.
	pausedUntil time.Duration
	// places are those that are taken, at the entry that permits.
	places []place
}

// place is a place of an entry at a brittle server, until it is given back or expires.
type place struct {
	entry     string
	expiresAt time.Duration
}

// recordBrittleness records what a response says about the brittleness of its server, and
// whether it turns the request away.
func (r *Relay) recordBrittleness(t upstream.Target, attemptID string, status int, info *ResponseInfo) {
	isTurnedAway := info.NotRun && status == http.StatusServiceUnavailable
	if !info.Brittleness.IsNamed && !(isSuccess(status) && info.Signed) {
		return
	}
	notice, isNews := r.Balancer.setBrittleness(t, info.Brittleness, isTurnedAway)
	if !isNews {
		return
	}
	r.Log.Log(EvBrittlenessChanged, "request", attemptID, "service", notice.Service, "server", t.ID, "is_brittle", info.Brittleness.IsNamed,
		"max_turned_away", info.Brittleness.MaxTurnedAway, "turned_away", isTurnedAway)
	if info.Brittleness.IsNamed {
		r.Peers.NotifyBrittle(notice)
	}
}

// setBrittleness records the brittleness of a server, which is that of its service. isNews
// is true if others should know: the service has become brittle or is no longer, or the
// server has turned a request away.
func (b *Balancer) setBrittleness(t upstream.Target, named ServerBrittleness, isTurnedAway bool) (notice BrittleNotice, isNews bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[t.ID]
	if !ok || s.target.Incarnation != t.Incarnation {
		return notice, false
	}
	_, wasBrittle := b.brittle[s.Service]
	notice = BrittleNotice{Service: s.Service, MaxTurnedAway: named.MaxTurnedAway}
	if !named.IsNamed {
		delete(b.brittle, s.Service)
		return notice, wasBrittle
	}
	b.brittle[s.Service] = named.MaxTurnedAway
	if !isTurnedAway {
		return notice, !wasBrittle
	}
	notice.Server, notice.Incarnation = s.ID, s.Incarnation
	return notice, b.recordTurnedAwayLocked(s)
}

// MergeBrittle records the notice of another entry. It returns false if it is no news.
func (b *Balancer) MergeBrittle(n BrittleNotice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, wasBrittle := b.brittle[n.Service]
	b.brittle[n.Service] = n.MaxTurnedAway
	if s, ok := b.servers[n.Server]; ok && s.Incarnation == n.Incarnation {
		return b.recordTurnedAwayLocked(s)
	}
	return !wasBrittle
}

// recordTurnedAwayLocked pauses a brittle server and lowers the calls that it gets
// afterwards. It returns false if that was done just before.
func (b *Balancer) recordTurnedAwayLocked(s *server) bool {
	now := b.clock()
	if s.room.turnedAwayAt > 0 && now-s.room.turnedAwayAt < noticeInterval {
		return false
	}
	calls := float64(s.ownCalls + s.peerCalls)
	s.room.most, s.room.at = max(1, turnedAwayShare*min(calls, s.mostCalls(now))), now+turnedAwayPause
	s.room.turnedAwayAt = now
	s.pausedUntil = max(s.pausedUntil, now+turnedAwayPause)
	return true
}

// mostCalls returns the number of calls of all entries that a brittle server may get.
func (s *server) mostCalls(now time.Duration) float64 {
	slots := float64(s.Slots)
	if s.Slots == 0 {
		slots = maxOwnCallsPerServer
	}
	most := slots - max(1, spareShare*slots)
	if s.room.at > 0 {
		most = min(most, s.room.most+roomGrowth*slots*max(0, now-s.room.at).Seconds())
	}
	return max(1, most)
}

// waitForPlace returns how long an entry should wait before it asks for a place again; 0 if
// there is one.
func (s *server) waitForPlace(now time.Duration) time.Duration {
	if wait := s.pausedUntil - now; wait > 0 {
		return wait
	}
	s.room.places = slices.DeleteFunc(s.room.places, func(p place) bool { return p.expiresAt <= now })
	// Calls without a permit count as well, once this entry has heard of them.
	if float64(max(len(s.room.places), s.ownCalls+s.peerCalls)+1) <= s.mostCalls(now) {
		return 0
	}
	return addJitter(placeWait)
}

// FreePlace gives a place of an entry at a brittle server back.
func (b *Balancer) FreePlace(entry, server string, incarnation int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[server]
	if !ok || s.Incarnation != incarnation {
		return
	}
	if i := slices.IndexFunc(s.room.places, func(p place) bool { return p.entry == entry }); i >= 0 {
		s.room.places = slices.Delete(s.room.places, i, i+1)
	}
}

// mayHaveFallen reports whether a brittle server has lately turned requests away, so that
// its end is no sign of the content that it was running.
func (b *Balancer) mayHaveFallen(t upstream.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[t.ID]
	if !ok || s.room.turnedAwayAt == 0 {
		return false
	}
	return b.clock()-s.room.turnedAwayAt < fallSuspicion
}

// BrittleServices returns how many requests each server may turn away in a second, by
// service; nil if there are no brittle ones.
func (b *Balancer) BrittleServices() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.brittle) == 0 {
		return nil
	}
	return maps.Clone(b.brittle)
}
