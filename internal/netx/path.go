package netx

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// minFailedServers is the number of servers of which none could be reached since the
	// last success from which on a host counts as having no path to any; all if there are
	// fewer servers.
	minFailedServers = 6
	// minReachedServers is the number of servers that must be reached for a lost path to
	// count as regained; all if there are fewer. Otherwise a host that reaches one of many
	// servers would lose and regain it all the time.
	minReachedServers = 3
	// minSuspectServers is the number from which on others should be tried, to know.
	minSuspectServers = 2
	// maxChecked limits the servers that are tried then.
	maxChecked = 8
)

// PathState tells whether this host has lost its path to all servers, as opposed to servers
// that have died, by the outcomes of dials. Open connections do not count, since they may
// live on when no new ones can be opened. It is safe for concurrent use.
type PathState struct {
	mu sync.Mutex
	// failed holds the servers that could not be reached since the last success.
	failed map[string]bool
	// succeededAt is when the last successful dial started.
	succeededAt time.Time
	isLost      bool
	// reached holds the servers that were reached, and not lost again, since the path was
	// lost.
	reached map[string]bool
	// isChecked is true if ToCheck has returned servers since the path was last found or
	// lost.
	isChecked bool
}

// RecordDial records the outcome of a dial of one of serverCount servers, and returns
// whether the path was lost or regained by it. A failure of a dial that started before the
// last successful one has no effect.
func (p *PathState) RecordDial(server string, startedAt time.Time, ok bool, serverCount int) (isChanged bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.isLost:
		return p.recordWhileLost(server, startedAt, ok, serverCount)
	case ok:
		p.succeededAt, p.isChecked = startedAt, false
		clear(p.failed)
		return false
	case startedAt.Before(p.succeededAt):
		return false
	}
	if p.failed == nil {
		p.failed = map[string]bool{}
	}
	p.failed[server] = true
	if len(p.failed) < min(minFailedServers, serverCount) {
		return false
	}
	p.isLost, p.isChecked, p.reached = true, false, map[string]bool{}
	return true
}

// recordWhileLost is RecordDial without a path. The mutex must be held.
func (p *PathState) recordWhileLost(server string, startedAt time.Time, ok bool, serverCount int) (isChanged bool) {
	if !ok {
		delete(p.reached, server)
		return false
	}
	p.reached[server] = true
	if len(p.reached) < min(minReachedServers, serverCount) {
		return false
	}
	p.succeededAt, p.isLost, p.isChecked = startedAt, false, false
	clear(p.failed)
	return true
}

// HasReached reports whether the server was reached since the path was lost, and whether any
// was.
func (p *PathState) HasReached(server string) (isReached, isAny bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reached[server], len(p.reached) > 0
}

// ToCheck returns the servers of all that should be tried at once to know whether the path is
// lost, or regained; none unless it may be.
func (p *PathState) ToCheck(all []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.failed
	if p.isLost {
		known = p.reached
	}
	if p.isChecked || !p.isLost && len(known) < minSuspectServers || len(known) == 0 {
		return nil
	}
	p.isChecked = true
	rest := slices.DeleteFunc(slices.Clone(all), func(server string) bool { return known[server] })
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return rest[:min(maxChecked, len(rest))]
}

// IsLost reports whether there is no path to any server.
func (p *PathState) IsLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isLost
}
