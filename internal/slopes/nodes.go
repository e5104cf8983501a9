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
	settle   = 2 * time.Second
	idle     = 6 * time.Second
	changes  = 5
	changeIn = 500 * time.Millisecond
	joins    = 2
)

// measureNodes measures idle traffic, changes of the document and changes of
// membership against the number of nodes.
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
	r, err := newRig(ctx, n, smallSite, document(smallDocument))
	if err != nil {
		return err
	}
	defer r.site.Close()
	add("all nodes start at once: until all know all", "s", time.Since(began).Seconds())
	add("all nodes start at once: store transactions per node", "calls", float64(r.site.Store.Calls()["txn"])/x)

	wait.For(ctx, settle)
	rest := r.during(func() { wait.For(ctx, idle) })
	add("idle: bytes to peers per node", "B/s", rest.total.peer/x/rest.seconds)
	add("idle: bytes to peers, busiest node", "B/s", rest.busiest.peer/rest.seconds)
	add("idle: bytes with the store per node", "B/s", rest.total.store/x/rest.seconds)
	add("idle: bytes with the store, busiest node", "B/s", rest.busiest.store/rest.seconds)
	add("idle: processor time per node, stand-ins included", "share of a core", rest.cpu.Seconds()/x/rest.seconds)
	add("idle: lease renewals, all nodes", "calls/s", rest.calls["keepalive"]/rest.seconds)
	add("idle: store reads, all nodes", "calls/s", rest.calls["range"]/rest.seconds)
	add("memory per node, stand-ins included", "B", (liveBytes()-before)/x)

	if err := r.measureChanges(ctx, rest, add); err != nil {
		return err
	}
	if err := r.measureJoins(ctx, rest, add); err != nil {
		return err
	}
	return r.measureLeaves(ctx, add)
}

type addFunc func(quantity, unit string, y float64)

// during probes the site before and after f.
func (r *rig) during(f func()) usage {
	before := r.probe()
	f()
	return before.until(r.probe())
}

// above returns the bytes to peers beyond those of an idle site.
func (u usage) above(rest usage) float64 {
	return u.total.peer - rest.total.peer/rest.seconds*u.seconds
}

func (r *rig) measureChanges(ctx context.Context, rest usage, add addFunc) error {
	var err error
	slowest := 0.0
	used := r.during(func() {
		for range changes {
			began := time.Now()
			if err = r.propose(ctx); err != nil {
				return
			}
			slowest = max(slowest, time.Since(began).Seconds())
			wait.For(ctx, changeIn)
		}
	})
	if err != nil {
		return err
	}
	nodes := float64(len(r.site.Entries()))
	add("change of the document: bytes to peers per change and node", "B", used.above(rest)/nodes/changes)
	add("change of the document: slowest until in force everywhere", "s", slowest)
	add("change of the document: store transactions per change", "calls", used.calls["txn"]/changes)
	return nil
}

func (r *rig) measureJoins(ctx context.Context, rest usage, add addFunc) error {
	var err error
	used := r.during(func() {
		for range joins {
			if err = r.startEntries(ctx, 1); err != nil {
				return
			}
			wait.For(ctx, changeIn)
		}
	})
	if err != nil {
		return err
	}
	add("join of a node: bytes to peers per join and node", "B", used.above(rest)/float64(len(r.site.Entries()))/joins)
	return nil
}

// measureLeaves takes the VMs of one zone back and waits until its nodes are
// out of the table everywhere else.
func (r *rig) measureLeaves(ctx context.Context, add addFunc) error {
	var err error
	began := time.Now()
	used := r.during(func() {
		r.site.Cloud.ReclaimZone(zoneName(0), reclaimNotice)
		err = r.await(ctx, "zone left", func(e *site.Entry) bool { return e.Zone == zoneName(0) || hasLeft(e, zoneName(0)) })
	})
	if err != nil {
		return err
	}
	nodes := float64(len(r.site.Entries()))
	add("notice for a zone: until out of the table everywhere", "s", time.Since(began).Seconds())
	add("notice for a zone: store writes", "calls", used.writes())
	add("notice for a zone: store reads", "calls", used.calls["range"])
	add("notice for a zone: bytes to peers per node", "B", used.total.peer/nodes)
	return nil
}

func hasLeft(e *site.Entry, zone string) bool {
	return !slices.ContainsFunc(e.Node.Members().Table().Members, func(m member.Member) bool { return m.Zone == zone })
}
