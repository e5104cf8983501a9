// Package capacity decides which backend server takes a request well, from what the
// servers say of their load and from how long their answers take. It does no I/O, reads no
// clock and starts no goroutine: callers pass the times and the figures.
//
// The load that it answers: many entries send to few servers, each entry sees a small part
// of the answers, and figures that come from other entries are older than the states that
// they tell of. Servers differ in speed, share their machines with others, and some become
// slower for all requests long before they are full.
package capacity

import "time"

// Bounds of the figures that a server may state. What lies outside has the effect of the
// bound, so that no figure draws all requests to a server.
const (
	maxRequests = 1 << 16
	minSlowness = 0.5
	maxSlowness = 20
)

// Statement is what a server says of its load in a response.
type Statement struct {
	// Running and Waiting are the numbers of requests of all entries, and Slots is how many
	// run at once; 0 is unknown.
	Running, Waiting, Slots int
	// Slowness is how long work takes at the server now, as a multiple of what is usual
	// there; 0 if the server does not say so.
	Slowness float64
}

// NewStatement returns a statement with its figures brought within bounds, and false if
// they are not those of a load.
func NewStatement(running, waiting, slots int, slowness float64) (Statement, bool) {
	if running < 0 || waiting < 0 || slots < 0 || !(slowness >= 0) {
		return Statement{}, false
	}
	s := Statement{Running: min(running, maxRequests), Waiting: min(waiting, maxRequests), Slots: min(slots, maxRequests)}
	if slowness > 0 {
		s.Slowness = min(max(slowness, minSlowness), maxSlowness)
	}
	return s, true
}

// StatesSlowness reports whether the server says how long work takes there.
func (s Statement) StatesSlowness() bool { return s.Slowness > 0 }

const (
	// slownessMemory is the time in which a stated slowness loses most of its meaning, since
	// servers change several times a second.
	slownessMemory = 250 * time.Millisecond
	// minDistrust and maxDistrust bound how long the statements of a server that has
	// contradicted itself are not used.
	minDistrust = 2 * time.Second
	maxDistrust = 30 * time.Second
	// minCheckPause and maxCheckPause bound how long a server that has not answered a check
	// is not checked again.
	minCheckPause = 500 * time.Millisecond
	maxCheckPause = 8 * time.Second
)

// Server is what is known of the load of one incarnation of a server from its own
// statements. Times are those of the caller's clock. The zero value knows nothing.
type Server struct {
	last   Statement
	lastAt time.Duration
	// distrustedUntil and distrust are the end and the length of the latest distrust.
	distrustedUntil, distrust time.Duration
	// uncheckedUntil and checkPause are the end and the length of the latest pause of checks.
	uncheckedUntil, checkPause time.Duration
}

// Record records a statement of the server.
func (s *Server) Record(now time.Duration, stated Statement) { s.last, s.lastAt = stated, now }

// Last returns the latest statement and its age; ok is false if there is none.
func (s *Server) Last(now time.Duration) (stated Statement, age time.Duration, ok bool) {
	return s.last, now - s.lastAt, s.lastAt > 0
}

// RecordTurnedAway records that the server turned a request away and stated its load with
// the refusal. A server that refuses although it states room is distrusted, longer each
// time; it returns true if that is new.
func (s *Server) RecordTurnedAway(now time.Duration, stated Statement) bool {
	s.Record(now, stated)
	if stated.Slots == 0 || stated.Running+stated.Waiting >= stated.Slots {
		return false
	}
	isNew := now >= s.distrustedUntil
	if isNew {
		s.distrust = min(max(2*s.distrust, minDistrust), maxDistrust)
	}
	s.distrustedUntil = now + s.distrust
	return isNew
}

// RecordCheck records whether the server has answered a check of its load in time. It
// returns true if it has not, and checks pause for the first time since it did.
func (s *Server) RecordCheck(now time.Duration, isAnswered bool) bool {
	if isAnswered {
		s.checkPause = 0
		return false
	}
	isNew := s.checkPause == 0
	s.checkPause = min(max(2*s.checkPause, minCheckPause), maxCheckPause)
	s.uncheckedUntil = now + s.checkPause
	return isNew
}

// StatesSlowness reports whether the server has said how long work takes there, in its last
// statement.
func (s *Server) StatesSlowness() bool { return s.last.StatesSlowness() }

// IsCheckable reports whether the load of the server may be asked for, and the answer used.
func (s *Server) IsCheckable(now time.Duration) bool {
	return now >= s.distrustedUntil && now >= s.uncheckedUntil
}

// Slowness returns the slowness to expect from the last statement, which tends to what is
// usual as the statement ages.
func (s *Server) Slowness(now time.Duration) float64 {
	age := now - s.lastAt
	if !s.last.StatesSlowness() || now < s.distrustedUntil || age >= slownessMemory {
		return 1
	}
	return 1 + (s.last.Slowness-1)*(1-max(0, age).Seconds()/slownessMemory.Seconds())
}
