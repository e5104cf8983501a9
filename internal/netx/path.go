package netx

import (
	"sync"
	"time"
)

// minFailedServers is the number of servers of which none could be reached since the last
// success from which on a host counts as having no path to any; fewer if there are fewer
// servers.
const minFailedServers = 2

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
		p.succeededAt, p.isLost = startedAt, false
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

// IsLost reports whether there is no path to any server.
func (p *PathState) IsLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isLost
}
