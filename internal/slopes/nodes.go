package slopes

import (
	"context"
	"slices"
	"time"

	"buckthornpick/internal/member"
	"buckthornpick/internal/standin/site"
	"buckthornpick/internal/wait"
)

const (
	settleTime     = 2 * time.Second
	idlePeriod     = 6 * time.Second
	changeCount    = 5
	changeInterval = 500 * time.Millisecond
	joinCount      = 2
)

// measureNodes measures idle traffic, document changes and membership changes
// against the number of nodes.
func measureNodes(ctx context.Context, o Options, out *Results) error {
	for _, n := range o.Nodes {
		if err := measureNodesAt(ctx, n, out); err != nil {
			return err
		}
	}
	return nil
}

func measureNodesAt(ctx context.Context, n int, out *Results) error {
	x := float64(n)
	add := func(quantity, unit string, y float64) { out.Add("nodes", quantity, unit, "nodes", x, y) }
	before, began := liveBytes(), time.Now()
	ts, err := startTestSite(ctx, n, fewServers, document(fewOrganisations))
	if err != nil {
		return err
	}
	defer ts.site.Close()
	add("all nodes start at once: until all know all", "s", time.Since(began).Seconds())
	add("all nodes start at once: store transactions per node", "calls", float64(ts.site.Store.Calls()["txn"])/x)

	wait.For(ctx, settleTime)
	baseline := ts.measureDuring(func() { wait.For(ctx, idlePeriod) })
	add("idle: bytes to peers per node", "B/s", baseline.total.peer/x/baseline.seconds)
	add("idle: bytes to peers, busiest node", "B/s", baseline.maxPerHost.peer/baseline.seconds)
	add("idle: bytes with the store per node", "B/s", baseline.total.store/x/baseline.seconds)
	add("idle: bytes with the store, busiest node", "B/s", baseline.maxPerHost.store/baseline.seconds)
	add("idle: processor time per node, stand-ins included", "share of a core", baseline.cpu.Seconds()/x/baseline.seconds)
	add("idle: lease renewals, all nodes", "calls/s", baseline.calls["keepalive"]/baseline.seconds)
	add("idle: store reads, all nodes", "calls/s", baseline.calls["range"]/baseline.seconds)
	add("memory per node, stand-ins included", "B", (liveBytes()-before)/x)

	if err := ts.measureChanges(ctx, baseline, add); err != nil {
		return err
	}
	if err := ts.measureJoins(ctx, baseline, add); err != nil {
		return err
	}
	return ts.measureLeaves(ctx, add)
}

type addFunc func(quantity, unit string, y float64)

// measureDuring calls f and returns the resources used meanwhile.
func (ts *testSite) measureDuring(f func()) usage {
	before := ts.sample()
	f()
	return before.usageUntil(ts.sample())
}

// peerBytesAbove returns the bytes to peers in excess of the idle traffic that
// baseline measured, scaled to the same time.
func (u usage) peerBytesAbove(baseline usage) float64 {
	return u.total.peer - baseline.total.peer/baseline.seconds*u.seconds
}

func (ts *testSite) measureChanges(ctx context.Context, baseline usage, add addFunc) error {
	var err error
	slowest := 0.0
	used := ts.measureDuring(func() {
		for range changeCount {
			began := time.Now()
			if err = ts.proposeChange(ctx); err != nil {
				return
			}
			slowest = max(slowest, time.Since(began).Seconds())
			wait.For(ctx, changeInterval)
		}
	})
	if err != nil {
		return err
	}
	nodes := float64(len(ts.site.Entries()))
	add("change of the document: bytes to peers per change and node", "B", used.peerBytesAbove(baseline)/nodes/changeCount)
	add("change of the document: slowest until in force everywhere", "s", slowest)
	add("change of the document: store transactions per change", "calls", used.calls["txn"]/changeCount)
	return nil
}

func (ts *testSite) measureJoins(ctx context.Context, baseline usage, add addFunc) error {
	var err error
	used := ts.measureDuring(func() {
		for range joinCount {
			if err = ts.startEntries(ctx, 1); err != nil {
				return
			}
			wait.For(ctx, changeInterval)
		}
	})
	if err != nil {
		return err
	}
	add("join of a node: bytes to peers per join and node", "B", used.peerBytesAbove(baseline)/float64(len(ts.site.Entries()))/joinCount)
	return nil
}

// measureLeaves reclaims the VMs of one zone and waits until its nodes are
// removed from the member table on all other nodes.
func (ts *testSite) measureLeaves(ctx context.Context, add addFunc) error {
	var err error
	began := time.Now()
	used := ts.measureDuring(func() {
		ts.site.Cloud.ReclaimZone(zoneName(0), reclaimNotice)
		err = ts.awaitEntries(ctx, "zone left", func(e *site.Entry) bool { return e.Zone == zoneName(0) || hasLeft(e, zoneName(0)) })
	})
	if err != nil {
		return err
	}
	nodes := float64(len(ts.site.Entries()))
	add("notice for a zone: until out of the table everywhere", "s", time.Since(began).Seconds())
	add("notice for a zone: store writes", "calls", used.writes())
	add("notice for a zone: store reads", "calls", used.calls["range"])
	add("notice for a zone: bytes to peers per node", "B", used.total.peer/nodes)
	return nil
}

// hasLeft reports whether no node of the zone is in the entry's member table.
func hasLeft(e *site.Entry, zone string) bool {
	return !slices.ContainsFunc(e.Node.Members().Table().Members, func(m member.Member) bool { return m.Zone == zone })
}
