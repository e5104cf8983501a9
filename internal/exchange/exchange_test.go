package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/config"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/quota"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/standin/memnet"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/upstream"
	"buckthornpick/internal/usage"
)

const (
	rigOrg    = "org"
	rigWindow = 8 * time.Second
	// settled is longer than an entry's spending takes to all others.
	settled = 3 * treeLag * interval
)

// rig is the exchange of a whole site in virtual time.
type rig struct {
	t       *testing.T
	net     *memnet.Network
	entries map[string]*rigEntry
	nodes   []peer.Node
	ended   sync.WaitGroup
	spent   float64
}

type rigEntry struct {
	*Exchange
	entries *follow.Entries
	stop    context.CancelFunc
}

// withRig plays f on a site of three zones, with n entries in each.
func withRig(t *testing.T, n int, f func(*rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, net: memnet.New(1), entries: map[string]*rigEntry{}}
		r.net.SetLatency(time.Millisecond, 0)
		for _, zone := range []string{"a", "b", "c"} {
			for i := range n {
				id := fmt.Sprintf("%s%02d", zone, i)
				r.nodes = append(r.nodes, peer.Node{ID: id, Zone: zone, Address: id + ":7600"})
			}
		}
		for _, node := range r.nodes {
			r.start(node)
		}
		r.register()
		f(r)
		for _, e := range r.entries {
			e.stop()
		}
		r.ended.Wait()
	})
}

func (r *rig) start(self peer.Node) {
	network, log := r.net.Host(self.ID, self.Zone), telemetry.Discard()
	size := follow.NewSiteSize(clock.Virtual)
	size.SetRegistered(true)
	e := &rigEntry{entries: follow.NewEntries(self, size, log)}
	transport := peer.New(self, network, log, metrics.NewRegistry(), peer.Options{
		Secret: []byte("secret"), PingInterval: 700 * time.Millisecond, IdlePingInterval: 700 * time.Millisecond, PingTimeout: 700 * time.Millisecond,
	})
	run := RunName(self.ID, time.Now())
	e.Exchange = New(Config{
		Transport: transport, Entries: e.entries, Size: size,
		Balancer: relay.NewBalancer(self.ID, self.Zone, clock.Virtual, upstream.NewPool(network, metrics.NewRegistry())),
		Quotas:   relay.NewQuotas(rigWindow, clock.Virtual), Crashes: relay.NewCrashes(clock.Virtual),
		Counts: usage.NewCounts(run, 5*time.Second, clock.NewWall(clock.Virtual, time.Now)),
		Clock:  clock.Virtual, Log: log, MayServe: mayServe,
	}, run)
	ctx, stop := context.WithCancel(r.t.Context())
	e.stop = stop
	r.entries[self.ID] = e
	for _, duty := range []func(context.Context) error{transport.Run, e.Exchange.Run} {
		r.ended.Go(func() { _ = duty(ctx) })
	}
}

// register shows the running entries to all of them.
func (r *rig) register() {
	var list []kv.Entry
	for _, node := range r.nodes {
		if r.entries[node.ID] == nil {
			continue
		}
		value, err := json.Marshal(node)
		require.NoError(r.t, err)
		list = append(list, kv.Entry{Key: follow.EntriesPrefix + node.ID, Value: value})
	}
	for _, e := range r.entries {
		e.entries.Replace(list)
	}
}

func (r *rig) kill(id string) {
	r.entries[id].stop()
	delete(r.entries, id)
	r.net.KillHost(id)
}

// hubs returns the hubs of a zone.
func (r *rig) hubs(zone string) []string {
	var ids []string
	for id, e := range r.entries {
		if e.self.Zone == zone && e.IsHub() {
			ids = append(ids, id)
		}
	}
	return ids
}

// rigQuota is far above what the tests spend, but for its evenness.
var rigQuota = &config.Organisation{Name: rigOrg, Quota: &config.Quota{PerSecond: 1e9, Burst: 1e9}}

func (r *rig) spend(id string, amount float64) quota.Verdict {
	e := r.entries[id]
	v := e.Quotas.Spend(rigQuota, e.Site(), amount)
	require.True(r.t, v.Allowed, "%s: %+v", id, v)
	r.spent += amount
	return v
}

// spendAll lets every entry spend.
func (r *rig) spendAll(amount float64) {
	for id := range r.entries {
		r.spend(id, amount)
	}
}

// requireKnown requires that every entry knows the spending of all, up to a part
// of it in either direction.
func (r *rig) requireKnown(part float64) {
	r.t.Helper()
	for id, e := range r.entries {
		v := e.Quotas.Spend(rigQuota, e.Site(), 0)
		require.InDelta(r.t, r.spent, v.Spent, part*r.spent, "%s", id)
	}
}

func (r *rig) requireSite(entries, reachable int, of func(id string) bool) {
	r.t.Helper()
	for id, e := range r.entries {
		if of(id) {
			site := e.Site()
			require.Equal(r.t, [2]int{entries, reachable}, [2]int{site.Entries, site.Reachable}, "entries and reachable at %s", id)
		}
	}
}

func everyEntry(string) bool { return true }

func TestSpendingOfALargeSiteIsKnownToAll(t *testing.T) {
	withRig(t, 8, func(r *rig) {
		time.Sleep(settled)
		r.requireSite(24, 24, everyEntry)
		for _, zone := range []string{"a", "b", "c"} {
			require.Len(t, r.hubs(zone), hubsPerZone)
		}
		for range 5 {
			r.spendAll(100)
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(settled)
		r.requireKnown(0)
		time.Sleep(rigWindow)
		r.spent = 0
		r.spendAll(10)
		time.Sleep(settled)
		r.requireKnown(0)
	})
}

func TestLossOfAllHubsOfAZoneCountsNothingTwice(t *testing.T) {
	withRig(t, 8, func(r *rig) {
		time.Sleep(rigWindow + settled)
		r.spendAll(1000)
		time.Sleep(settled)
		for _, id := range r.hubs("b") {
			r.kill(id)
		}
		time.Sleep(2 * time.Second)
		r.spendAll(100)
		time.Sleep(settled)
		r.requireKnown(0.01)
		require.Len(t, r.hubs("b"), hubsPerZone, "others have taken their place")
	})
}

func TestRestartedHubCountsNothingTwice(t *testing.T) {
	withRig(t, 8, func(r *rig) {
		time.Sleep(rigWindow + settled)
		r.spendAll(1000)
		time.Sleep(settled)
		id := r.hubs("b")[0]
		node := r.entries[id].self
		r.kill(id)
		time.Sleep(time.Second)
		r.start(node)
		r.register()
		time.Sleep(settled)
		r.spendAll(100)
		time.Sleep(settled)
		r.requireKnown(0.01)
	})
}

func TestZonesOfALargeSiteThatAreCutOffHaveTheirPart(t *testing.T) {
	withRig(t, 8, func(r *rig) {
		time.Sleep(settled)
		r.net.CutZones("a", "b")
		r.net.CutZones("a", "c")
		time.Sleep(silence + settled)
		isIn := func(id string) bool { return id[0] == 'a' }
		r.requireSite(24, 8, isIn)
		r.requireSite(24, 16, func(id string) bool { return !isIn(id) })
		r.net.HealAll()
		time.Sleep(10*time.Second + settled)
		r.requireSite(24, 24, everyEntry)
	})
}

// The entries beyond the cut may serve for a while after their registrations
// have lapsed.
func TestLargeSiteCountsEntriesThatMayServe(t *testing.T) {
	withRig(t, 8, func(r *rig) {
		time.Sleep(settled)
		isIn := func(id string) bool { return id[0] == 'a' }
		r.net.CutZones("a", "b")
		r.net.CutZones("a", "c")
		inside := map[string]*rigEntry{}
		for id, e := range r.entries {
			if isIn(id) {
				inside[id] = e
				delete(r.entries, id)
			}
		}
		r.register()
		time.Sleep(mayServe - 2*interval)
		r.requireSite(24, 16, everyEntry)
		time.Sleep(3*interval + settled)
		r.requireSite(16, 16, everyEntry)
		for id, e := range inside {
			r.entries[id] = e
		}
	})
}

func TestMarksOfALargeSiteReachAll(t *testing.T) {
	withRig(t, 8, func(r *rig) {
		time.Sleep(settled)
		for id, e := range r.entries {
			if !e.IsHub() {
				crash := relay.Crash{Content: 7, Server: "s", Run: "s/" + id}
				e.Crashes.Note(crash)
				e.NotifyCrash(crash)
			}
		}
		time.Sleep(settled)
		for id, e := range r.entries {
			require.Equal(t, 24-3*hubsPerZone, e.Crashes.Count(7), "%s", id)
		}
	})
}

func TestHubsOfALargeSiteKnowTheUsageOfAll(t *testing.T) {
	withRig(t, 8, func(r *rig) {
		time.Sleep(settled)
		for _, e := range r.entries {
			e.Counts.Began(rigOrg)
		}
		window, _ := r.entries["a00"].Counts.Now()
		time.Sleep(settled)
		for _, zone := range []string{"a", "b", "c"} {
			for _, id := range r.hubs(zone) {
				require.Equal(t, map[string]int{rigOrg: 24}, r.entries[id].Counts.Sum(window), "%s", id)
			}
		}
	})
}
