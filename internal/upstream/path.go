package upstream

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/netx"
)

const (
	// pathCheckInterval is the time between two checks of the path, and pathProbeTimeout
	// limits the time to open the connection of a probe.
	pathCheckInterval = 250 * time.Millisecond
	pathProbeTimeout  = 300 * time.Millisecond
	// maxServerSilence is the time without a byte from any server, while calls are in
	// progress, after which servers are probed: open connections may hang.
	maxServerSilence = 700 * time.Millisecond
	// findPathProbes is the number of servers that FindPath probes at once.
	findPathProbes  = 3
	findPathTimeout = 50 * time.Millisecond
)

// group is the state of the path to the servers of one service.
type group struct {
	name string
	path netx.PathState
	// receivedAt is when a server of the group last sent bytes, in Unix nanoseconds.
	receivedAt atomic.Int64
	// isSearched is true while FindPath probes servers.
	isSearched atomic.Bool
	// busySince is since when calls have been in progress, as of the last check; zero if
	// there were none. It is guarded by the pool's mutex.
	busySince time.Time
}

// group returns the group with the name and creates it if necessary.
func (p *Pool) group(name string) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[name]
	if !ok {
		g = &group{name: name}
		p.groups[name] = g
	}
	return g
}

// OnPathChange sets the function that is called when the path to all servers of a group is
// lost and when it is regained. It must be called before the pool is used.
func (p *Pool) OnPathChange(f func(group string, isLost bool)) { p.onPathChange = f }

// HasPath returns false if this host has no path to any server of the group.
func (p *Pool) HasPath(group string) bool { return !p.group(group).path.IsLost() }

// WatchPath probes one server of a group at a time until ctx ends, while there is no path to
// the group, and if none of its servers sends anything although calls are in progress. It
// probes several at once if the path may be lost. It always returns nil.
func (p *Pool) WatchPath(ctx context.Context) error {
	tick := time.NewTicker(pathCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case targets := <-p.toCheck:
			p.probe(ctx, targets, pathProbeTimeout)
		case <-tick.C:
			var probed []Target
			for _, g := range p.groupsToProbe() {
				probed = append(probed, p.randomTargets(g, 1)...)
			}
			p.probe(ctx, probed, pathProbeTimeout)
		}
	}
}

// groupsToProbe returns the groups without a path and those that are silent.
func (p *Pool) groupsToProbe() []*group {
	p.mu.Lock()
	defer p.mu.Unlock()
	inUse := map[string]int{}
	for _, s := range p.servers {
		inUse[s.target.Group] += s.openCount - len(s.idle)
	}
	var list []*group
	for _, g := range p.groups {
		if g.path.IsLost() || g.isSilent(time.Now(), inUse[g.name] > 0) {
			list = append(list, g)
		}
	}
	return list
}

// isSilent reports whether calls have been in progress for maxServerSilence and no server
// has sent a byte in that time.
func (g *group) isSilent(now time.Time, isBusy bool) bool {
	switch {
	case !isBusy:
		g.busySince = time.Time{}
		return false
	case g.busySince.IsZero():
		g.busySince = now
	}
	return now.Sub(g.busySince) >= maxServerSilence && now.Sub(time.Unix(0, g.receivedAt.Load())) >= maxServerSilence
}

// FindPath looks for a path to the target and some others of its group, unless another call
// does so already. It reports whether the target can be reached, and whether any server of
// the group can. It takes findPathTimeout at most.
func (p *Pool) FindPath(ctx context.Context, t Target) (isReached, isAny bool) {
	g := p.group(t.Group)
	if g.path.IsLost() && g.isSearched.CompareAndSwap(false, true) {
		p.probe(ctx, append(p.randomTargets(g, findPathProbes-1), t), findPathTimeout)
		g.isSearched.Store(false)
	}
	if !g.path.IsLost() {
		return true, true
	}
	return g.path.HasReached(t.ID)
}

// randomTargets returns up to n random servers of a group.
func (p *Pool) randomTargets(g *group, n int) []Target {
	targets := p.targetsOf(g)
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(n, len(targets))]
}

// targetsOf returns the servers of a group.
func (p *Pool) targetsOf(g *group) []Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Target
	for _, t := range p.targets {
		if t.Group == g.name {
			list = append(list, t)
		}
	}
	return list
}

// probe probes servers at once and waits for the results.
func (p *Pool) probe(ctx context.Context, targets []Target, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var probes sync.WaitGroup
	for _, t := range targets {
		probes.Go(func() { p.Probe(ctx, t) })
	}
	probes.Wait()
}

// closeIdleOf closes the idle connections to the servers of a group.
func (p *Pool) closeIdleOf(g *group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.target.Group == g.name {
			s.closeIdle()
		}
	}
}

// dial opens a connection to the server. A failure tells nothing about the path if the
// context of the caller has ended, as opposed to ctx, which also limits the dial.
func (p *Pool) dial(ctx, caller context.Context, t Target, s *serverConns) (*conn, error) {
	g := p.group(t.Group)
	startedAt := time.Now()
	nc, err := p.network.Dial(ctx, t.Address)
	if err == nil || caller.Err() == nil {
		p.recordDial(g, t, startedAt, err == nil)
	}
	if err != nil {
		p.decrementOpen(s)
		return nil, err
	}
	p.opened.Inc(1)
	g.receivedAt.Store(time.Now().UnixNano())
	return newConn(nc, s, &g.receivedAt), nil
}

// recordDial records the outcome of a dial, and has other servers of the group probed if the
// path may be lost.
func (p *Pool) recordDial(g *group, t Target, startedAt time.Time, ok bool) {
	byID := map[string]Target{}
	for _, other := range p.targetsOf(g) {
		byID[other.ID] = other
	}
	if g.path.RecordDial(t.ID, startedAt, ok, len(byID)) {
		if !ok {
			p.closeIdleOf(g) // they may hang
		}
		if p.onPathChange != nil {
			p.onPathChange(g.name, !ok)
		}
	}
	var toCheck []Target
	for _, id := range g.path.ToCheck(slices.Collect(maps.Keys(byID))) {
		toCheck = append(toCheck, byID[id])
	}
	if len(toCheck) > 0 {
		select {
		case p.toCheck <- toCheck:
		default:
		}
	}
}

// metricsOfPath registers the gauge of the groups without a path.
func (p *Pool) metricsOfPath(registry metrics.Registry) {
	registry.GetOrRegister("upstream.paths_lost", metrics.NewFunctionalGauge(func() int64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		lost := int64(0)
		for _, g := range p.groups {
			if g.path.IsLost() {
				lost++
			}
		}
		return lost
	}))
}
