package upstream

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
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

// OnPathChange sets the function that is called when the path to the servers is lost and
// when it is regained. It must be called before the pool is used.
func (p *Pool) OnPathChange(f func(isLost bool)) {
	p.onPathChange = func(isLost bool) {
		if isLost {
			p.closeAllIdle() // they may hang
		}
		f(isLost)
	}
}

// HasPath returns false if this host has no path to any server.
func (p *Pool) HasPath() bool { return !p.path.IsLost() }

// WatchPath probes one server at a time until ctx ends, while there is no path, and if no
// server sends anything although calls are in progress. It probes several at once if the
// path may be lost. It always returns nil.
func (p *Pool) WatchPath(ctx context.Context) error {
	tick := time.NewTicker(pathCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ids := <-p.toCheck:
			p.probe(ctx, p.targetsOf(ids), pathProbeTimeout)
		case <-tick.C:
			if !p.HasPath() || p.isSilent() {
				p.probeSome(ctx, 1, pathProbeTimeout)
			}
		}
	}
}

// targetsOf returns the targets with the IDs.
func (p *Pool) targetsOf(ids []string) []Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Target
	for _, id := range ids {
		if t, ok := p.targets[id]; ok {
			list = append(list, t)
		}
	}
	return list
}

// FindPath looks for a path to some servers, unless another call does so already, and
// reports whether there is one. It takes findPathTimeout at most.
func (p *Pool) FindPath(ctx context.Context) bool {
	if !p.HasPath() && p.isSearchingPath.CompareAndSwap(false, true) {
		p.probeSome(ctx, findPathProbes, findPathTimeout)
		p.isSearchingPath.Store(false)
	}
	return p.HasPath()
}

// isSilent reports whether calls have been in progress for maxServerSilence and no server
// has sent a byte in that time.
func (p *Pool) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	inUse := 0
	for _, s := range p.servers {
		inUse += s.openCount - len(s.idle)
	}
	if inUse == 0 {
		p.busySince = time.Time{}
		return false
	}
	if p.busySince.IsZero() {
		p.busySince = now
	}
	return now.Sub(p.busySince) >= maxServerSilence && now.Sub(time.Unix(0, p.receivedAt.Load())) >= maxServerSilence
}

// probeSome probes n random servers at once and waits for the results.
func (p *Pool) probeSome(ctx context.Context, n int, timeout time.Duration) {
	p.mu.Lock()
	targets := slices.Collect(maps.Values(p.targets))
	p.mu.Unlock()
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	p.probe(ctx, targets[:min(n, len(targets))], timeout)
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

// closeAllIdle closes all idle connections.
func (p *Pool) closeAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.closeIdle()
	}
}

// dial opens a connection to the server. A failure tells nothing about the path if the
// context of the caller has ended, as opposed to ctx, which also limits the dial.
func (p *Pool) dial(ctx, caller context.Context, t Target, s *serverConns) (*conn, error) {
	startedAt := time.Now()
	nc, err := p.network.Dial(ctx, t.Address)
	if err == nil || caller.Err() == nil {
		p.recordDial(t, startedAt, err == nil)
	}
	if err != nil {
		p.decrementOpen(s)
		return nil, err
	}
	p.opened.Inc(1)
	p.receivedAt.Store(time.Now().UnixNano())
	return newConn(nc, s, &p.receivedAt), nil
}

// recordDial records the outcome of a dial, and has other servers probed if the path may be
// lost.
func (p *Pool) recordDial(t Target, startedAt time.Time, ok bool) {
	p.mu.Lock()
	all := slices.Collect(maps.Keys(p.targets))
	p.mu.Unlock()
	if p.path.RecordDial(t.ID, startedAt, ok, len(all)) && p.onPathChange != nil {
		p.onPathChange(!ok)
	}
	if ids := p.path.ToCheck(all); len(ids) > 0 {
		select {
		case p.toCheck <- ids:
		default:
		}
	}
}

// metricsOfPath registers the gauge of the path.
func (p *Pool) metricsOfPath(registry metrics.Registry) {
	registry.GetOrRegister("upstream.path_lost", metrics.NewFunctionalGauge(func() int64 {
		if p.HasPath() {
			return 0
		}
		return 1
	}))
}
