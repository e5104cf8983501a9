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
	// isChecked is true if ToCheck has returned servers since the last success.
	isChecked bool
}

// RecordDial records the outcome of a dial of one of serverCount servers, and returns
// whether the path was lost or regained by it. A failure of a dial that started before the
// last successful one has no effect.
func (p *PathState) RecordDial(server string, startedAt time.Time, ok bool, serverCount int) (isChanged bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasLost := p.isLost
	switch {
	case ok:
		p.succeededAt, p.isLost, p.isChecked = startedAt, false, false
		clear(p.failed)
	case startedAt.Before(p.succeededAt):
	default:
		if p.failed == nil {
			p.failed = map[string]bool{}
		}
		p.failed[server] = true
		p.isLost = p.isLost || len(p.failed) >= min(minFailedServers, serverCount)
	}
	return p.isLost != wasLost
}

// ToCheck returns the servers of all that should be tried at once to know whether the path is
// lost; none unless it may be.
func (p *PathState) ToCheck(all []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isLost || p.isChecked || len(p.failed) < minSuspectServers {
		return nil
	}
	p.isChecked = true
	rest := slices.DeleteFunc(slices.Clone(all), func(server string) bool { return p.failed[server] })
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return rest[:min(maxChecked, len(rest))]
}

// IsLost reports whether there is no path to any server.
func (p *PathState) IsLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isLost
}
