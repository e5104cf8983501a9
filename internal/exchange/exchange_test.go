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

	"buckthornpick/internal/blame"
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
	testOrganisation = "org"
	testQuotaWindow  = 8 * time.Second
	// settleTime exceeds the time that an entry's spending takes to reach all others.
	settleTime = 3 * hubLagIntervals * reportInterval
)

// testSite runs the exchanges of a whole site in virtual time.
type testSite struct {
	t          *testing.T
	net        *memnet.Network
	entries    map[string]*testEntry
	nodes      []peer.Node
	goroutines sync.WaitGroup
	// spent is the amount that all entries have spent, recent what spendSteadily spent.
	spent  float64
	recent []spending
}

// testEntry is a running entry of a testSite.
type testEntry struct {
	*Exchange
	entries *follow.Entries
	stop    context.CancelFunc
}

// withTestSite runs f on a site of three zones with n entries in each.
func withTestSite(t *testing.T, n int, f func(*testSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &testSite{t: t, net: memnet.New(1), entries: map[string]*testEntry{}}
		s.net.SetLatency(time.Millisecond, 0)
		for _, zone := range []string{"a", "b", "c"} {
			for i := range n {
				id := fmt.Sprintf("%s%02d", zone, i)
				s.nodes = append(s.nodes, peer.Node{ID: id, Zone: zone, Address: id + ":7600"})
			}
		}
		for _, node := range s.nodes {
			s.start(node)
		}
		s.register()
		f(s)
		for _, e := range s.entries {
			e.stop()
		}
		s.goroutines.Wait()
	})
}

func (s *testSite) start(self peer.Node) {
	network, log := s.net.Host(self.ID, self.Zone), telemetry.Discard()
	size := follow.NewSiteSize(clock.Virtual)
	size.SetRegistered(true)
	e := &testEntry{entries: follow.NewEntries(self, size, log)}
	transport := peer.New(self, network, log, metrics.NewRegistry(), peer.Options{
		Secret: []byte("secret"), PingInterval: 700 * time.Millisecond, IdlePingInterval: 700 * time.Millisecond, PingTimeout: 700 * time.Millisecond,
	})
	run := RunName(self.ID, time.Now())
	e.Exchange = New(Config{
		Transport: transport, Entries: e.entries, Size: size,
		Balancer: relay.NewBalancer(self.ID, self.Zone, clock.Virtual, upstream.NewPool(network, metrics.NewRegistry())),
		Quotas:   relay.NewQuotas(testQuotaWindow, clock.Virtual), Crashes: blame.New(clock.Virtual, log),
		Counts: usage.NewCounts(run, 5*time.Second, clock.NewWall(clock.Virtual, time.Now)),
		Clock:  clock.Virtual, Log: log, UnregisteredGrace: unregisteredGrace,
	}, run)
	ctx, stop := context.WithCancel(s.t.Context())
	e.stop = stop
	s.entries[self.ID] = e
	for _, loop := range []func(context.Context) error{transport.Run, e.Exchange.Run} {
		s.goroutines.Go(func() { _ = loop(ctx) })
	}
}

// register sets the registry of every entry to the running entries.
func (s *testSite) register() {
	var list []kv.Entry
	for _, node := range s.nodes {
		if s.entries[node.ID] == nil {
			continue
		}
		value, err := json.Marshal(node)
		require.NoError(s.t, err)
		list = append(list, kv.Entry{Key: follow.EntriesPrefix + node.ID, Value: value})
	}
	for _, e := range s.entries {
		e.entries.Replace(list)
	}
}

func (s *testSite) kill(id string) {
	s.entries[id].stop()
	delete(s.entries, id)
	s.net.KillHost(id)
}

// hubs returns the IDs of the hubs of a zone.
func (s *testSite) hubs(zone string) []string {
	var ids []string
	for id, e := range s.entries {
		if e.self.Zone == zone && e.IsHub() {
			ids = append(ids, id)
		}
	}
	return ids
}

// testQuota is far above what the tests spend, so that no spending is refused.
var testQuota = &config.Organisation{Name: testOrganisation, Quota: &config.Quota{PerSecond: 1e9, Burst: 1e9}}

func (s *testSite) spend(id string, amount float64) quota.Decision {
	e := s.entries[id]
	v := e.Quotas.Spend(testQuota, e.Site(), amount)
	require.True(s.t, v.Allowed, "%s: %+v", id, v)
	s.spent += amount
	return v
}

// spendAll spends an amount at every entry.
func (s *testSite) spendAll(amount float64) {
	for id := range s.entries {
		s.spend(id, amount)
	}
}

// requireSpendingKnown requires that every entry knows the spending of all, up to
// a relative tolerance.
func (s *testSite) requireSpendingKnown(tolerance float64) {
	s.t.Helper()
	for id, e := range s.entries {
		v := e.Quotas.Spend(testQuota, e.Site(), 0)
		require.InDelta(s.t, s.spent, v.Spent, tolerance*s.spent, "%s", id)
	}
}

func (s *testSite) requireSiteCounts(entries, reachable int, of func(id string) bool) {
	s.t.Helper()
	for id, e := range s.entries {
		if of(id) {
			site := e.Site()
			require.Equal(s.t, [2]int{entries, reachable}, [2]int{site.Entries, site.Reachable}, "entries and reachable at %s", id)
		}
	}
}

func everyEntry(string) bool { return true }

func TestAllEntriesOfLargeSiteKnowItsSpending(t *testing.T) {
	withTestSite(t, 8, func(s *testSite) {
		time.Sleep(settleTime)
		s.requireSiteCounts(24, 24, everyEntry)
		for _, zone := range []string{"a", "b", "c"} {
			require.Len(t, s.hubs(zone), hubsPerZone)
		}
		for range 5 {
			s.spendAll(100)
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(settleTime)
		s.requireSpendingKnown(0)
		time.Sleep(testQuotaWindow)
		s.spent = 0
		s.spendAll(10)
		time.Sleep(settleTime)
		s.requireSpendingKnown(0)
	})
}

func TestLossOfAllHubsOfZoneDoesNotDoubleCount(t *testing.T) {
	withTestSite(t, 8, func(s *testSite) {
		time.Sleep(testQuotaWindow + settleTime)
		s.spendAll(1000)
		time.Sleep(settleTime)
		for _, id := range s.hubs("b") {
			s.kill(id)
		}
		time.Sleep(2 * time.Second)
		s.spendAll(100)
		time.Sleep(settleTime)
		s.requireSpendingKnown(0.01)
		require.Len(t, s.hubs("b"), hubsPerZone, "other entries have become hubs")
	})
}

func TestRestartedHubDoesNotDoubleCount(t *testing.T) {
	withTestSite(t, 8, func(s *testSite) {
		time.Sleep(testQuotaWindow + settleTime)
		s.spendAll(1000)
		time.Sleep(settleTime)
		id := s.hubs("b")[0]
		node := s.entries[id].self
		s.kill(id)
		time.Sleep(time.Second)
		s.start(node)
		s.register()
		time.Sleep(settleTime)
		s.spendAll(100)
		time.Sleep(settleTime)
		s.requireSpendingKnown(0.01)
	})
}

func TestPartitionedZonesOfLargeSiteKeepTheirShare(t *testing.T) {
	withTestSite(t, 8, func(s *testSite) {
		time.Sleep(settleTime)
		s.net.PartitionZones("a", "b")
		s.net.PartitionZones("a", "c")
		time.Sleep(silenceTimeout + settleTime)
		isInZoneA := func(id string) bool { return id[0] == 'a' }
		s.requireSiteCounts(24, 8, isInZoneA)
		s.requireSiteCounts(24, 16, func(id string) bool { return !isInZoneA(id) })
		s.net.HealAll()
		time.Sleep(10*time.Second + settleTime)
		s.requireSiteCounts(24, 24, everyEntry)
	})
}

// Partitioned entries may still serve for unregisteredGrace after their
// registrations have lapsed, so they must count as entries until then.
func TestLargeSiteCountsEntriesInUnregisteredGrace(t *testing.T) {
	withTestSite(t, 8, func(s *testSite) {
		time.Sleep(settleTime)
		isInZoneA := func(id string) bool { return id[0] == 'a' }
		s.net.PartitionZones("a", "b")
		s.net.PartitionZones("a", "c")
		entriesOfA := map[string]*testEntry{}
		for id, e := range s.entries {
			if isInZoneA(id) {
				entriesOfA[id] = e
				delete(s.entries, id)
			}
		}
		s.register()
		time.Sleep(unregisteredGrace - 2*reportInterval)
		s.requireSiteCounts(24, 16, everyEntry)
		time.Sleep(3*reportInterval + settleTime)
		s.requireSiteCounts(16, 16, everyEntry)
		for id, e := range entriesOfA {
			s.entries[id] = e
		}
	})
}

func TestCrashNoticesReachAllEntriesOfLargeSite(t *testing.T) {
	withTestSite(t, 8, func(s *testSite) {
		time.Sleep(settleTime)
		n, content := 0, blame.NewContent(7, []string{"part"})
		for _, e := range s.entries {
			if !e.IsHub() {
				n++
				notice := relay.CrashNotice{Crash: blame.Crash(n), Server: "s", Contents: []blame.Content{content}}
				e.Crashes.RecordCrash(notice.Crash, 0, content.Keys())
				e.NotifyCrash(notice)
			}
		}
		time.Sleep(settleTime)
		for id, e := range s.entries {
			for _, key := range content.Keys() {
				require.Equal(t, 24-3*hubsPerZone, e.Crashes.CrashCount(key), "%s", id)
			}
		}
	})
}

// Registrations lapse together when the store has been away. Entries must not all take
// themselves for the one that permits the requests to a server.
func TestOneEntryPermitsWhileRegistrationsFail(t *testing.T) {
	withTestSite(t, 3, func(s *testSite) {
		time.Sleep(settleTime)
		requireOnePermitter := func() {
			for server := range 20 {
				name, own := fmt.Sprint("s", server), 0
				for _, e := range s.entries {
					if permitter, isReachable := e.permitter(name); isReachable && permitter.ID == e.self.ID {
						own++
					}
				}
				require.LessOrEqual(t, own, 1, name)
			}
		}
		requireOnePermitter()
		for _, e := range s.entries {
			e.entries.Replace(nil)
		}
		for range 10 {
			time.Sleep(lapsedGrace / 12)
			requireOnePermitter()
		}
		s.register()
		time.Sleep(settleTime)
		requireOnePermitter()
	})
}

func TestHubsOfLargeSiteKnowUsageOfAllEntries(t *testing.T) {
	withTestSite(t, 8, func(s *testSite) {
		time.Sleep(settleTime)
		for _, e := range s.entries {
			e.Counts.RecordStart(testOrganisation)
		}
		window, _ := s.entries["a00"].Counts.CurrentWindow()
		time.Sleep(settleTime)
		for _, zone := range []string{"a", "b", "c"} {
			for _, id := range s.hubs(zone) {
				require.Equal(t, map[string]int{testOrganisation: 24}, s.entries[id].Counts.Sum(window), "%s", id)
			}
		}
	})
}

// Entries are restarted in turn, as by an upgrade, while requests run at all of them.
func TestUsageIsCountedOnceWhileEntriesAreRestartedInTurn(t *testing.T) {
	withTestSite(t, 8, func(s *testSite) {
		time.Sleep(settleTime)
		window, _ := s.entries["a00"].Counts.CurrentWindow()
		started := 0
		for i, node := range s.nodes {
			for _, e := range s.entries {
				e.Counts.RecordStart(testOrganisation)
				started++
			}
			time.Sleep(reportInterval * usageEvery * 3)
			s.entries[node.ID].Flush()
			s.kill(node.ID)
			s.start(node)
			s.register()
			time.Sleep(reportInterval * time.Duration(1+i%3) / 2)
		}
		time.Sleep(settleTime)
		end, _ := s.entries["a00"].Counts.CurrentWindow()
		for _, zone := range []string{"a", "b", "c"} {
			for _, id := range s.hubs(zone) {
				counted := 0
				for w := window; w <= end; w++ {
					counted += s.entries[id].Counts.Sum(w)[testOrganisation]
				}
				require.LessOrEqual(t, counted, started, "hub %s", id)
			}
		}
	})
}
