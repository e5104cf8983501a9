package member

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
)

func TestSevenNodesJoinAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startAll(7)
		require.Empty(t, c.requireAgreement(7).Gaps)
		tables := c.history(c.nodes["e00"])
		require.Len(t, tables, 7, "one change for each join")
		for i, table := range tables {
			require.Len(t, table.Members, i+1, "a join undid another one")
		}
	})
}

func TestLoneNodeWatchesAndReplacesTheDead(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startAll(3)
		for i := range 3 {
			c.crash(fmt.Sprintf("e%02d", i))
		}
		time.Sleep(settle)
		require.Len(t, c.stored().Members, 3, "nobody is left to remove them")
		c.start(5)
		time.Sleep(settle)
		require.Len(t, c.requireAgreement(1).Gaps, 3)
	})
}

func TestCrashedMemberIsRemovedOnceWithGap(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startAll(7)
		before := c.stored()
		c.crash("e00")
		c.crash("e03") // both watchers of zone z0
		crashed := time.Now()
		for len(c.stored().Members) > 5 && time.Since(crashed) < settle {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(crashed)
		t.Logf("removed %v after the crash", took)
		require.Less(t, took, defaultLeaseTTL+time.Second, "removed soon after the leases lapse")
		time.Sleep(settle)
		after := c.requireAgreement(5)
		require.Len(t, after.Gaps, 2)
		dirty := 0
		for p := range partitions {
			old, _ := before.Owner(p)
			now, _ := after.Owner(p)
			lost := old.ID == "e00" || old.ID == "e03"
			if !lost {
				require.Equal(t, old.ID, now.ID, "partition moved without need")
			}
			_, got := c.nodes[now.ID].AcquiredDirty(p)
			require.Equal(t, lost, got)
			if got {
				dirty++
			}
		}
		require.Positive(t, dirty)
		time.Sleep(defaultGapWindow)
		for p := range partitions {
			now, _ := after.Owner(p)
			_, got := c.nodes[now.ID].AcquiredDirty(p)
			require.False(t, got, "the gap window has passed")
		}
	})
}

func TestWholeZoneLapses(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startAll(7)
		for _, id := range []string{"e00", "e03", "e06"} {
			c.net.PartitionHost(id)
		}
		time.Sleep(settle)
		require.Len(t, c.stored().Members, 4)
		require.Len(t, c.stored().Gaps, 3)
		c.net.HealAll()
		time.Sleep(settle)
		c.requireAgreement(7)
	})
}

func TestLeavingMemberHasAGapUntilItHasHandedOver(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startAll(4)
		leaver := c.nodes["e01"]
		require.NoError(t, leaver.Leave(t.Context()))
		require.False(t, leaver.LeaseValid())
		time.Sleep(settle)
		_, revision := c.server.Peek(memberKey(leaver.cfg.Self))
		require.Zero(t, revision, "the lease key is gone")
		gaps := c.stored().Gaps
		require.Len(t, gaps, 1)
		require.True(t, gaps[0].IsLeaving)
		self := leaver.cfg.Self
		self.Incarnation = gaps[0].Member.Incarnation + 1
		require.NoError(t, leaver.HandedOver(t.Context(), []Member{self}))
		require.Len(t, c.stored().Gaps, 1, "the gap of another life stays")
		self.Incarnation--
		require.NoError(t, leaver.HandedOver(t.Context(), []Member{self}))
		time.Sleep(settle)
		c.stop("e01")
		require.Empty(t, c.requireAgreement(3).Gaps)
	})
}

func TestLeavingMemberIsAskedWhileItIsAlive(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startAll(3)
		alive := true
		for _, n := range c.nodes {
			n.cfg.IsAlive = func(id string) bool { return alive && id == "e01" }
		}
		before := c.stored()
		require.NoError(t, c.nodes["e01"].Leave(t.Context()))
		time.Sleep(settle)
		dirty := func() int {
			n := 0
			for p := range partitions {
				now, _ := c.stored().Owner(p)
				was, _ := before.Owner(p)
				_, isDirty := c.nodes[now.ID].AcquiredDirty(p)
				require.False(t, isDirty && was.ID != "e01")
				if isDirty {
					n++
				}
			}
			return n
		}
		require.Zero(t, dirty())
		alive = false
		require.Positive(t, dirty())
	})
}

func TestPausedMemberLosesLeaseFirstAndComesBack(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startAll(4)
		paused := c.nodes["e02"]
		old := paused.life()
		c.net.PauseHost("e02")
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			if _, in := c.stored().Find("e02"); !in {
				require.False(t, paused.LeaseValid(), "removed while it held its lease")
			}
		}
		_, in := c.stored().Find("e02")
		require.False(t, in)
		c.net.ResumeHost("e02")
		time.Sleep(settle)
		c.requireAgreement(4)
		require.Greater(t, paused.life(), old)
		for p := range partitions {
			_, dirty := paused.AcquiredDirty(p)
			require.False(t, dirty, "the process still knows its own requests")
		}
	})
}

func TestStoreOutageRemovesNobody(t *testing.T) {
	for name, lapse := range map[string]bool{"leases kept": false, "leases lapse": true} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, c *cluster) {
				c.startAll(7)
				before := c.stored()
				c.server.Faults.ExpireLeasesInOutage(lapse)
				c.server.Faults.SetOutage(true)
				time.Sleep(5 * time.Minute)
				require.Equal(t, before.Revision, c.stored().Revision)
				for id, n := range c.nodes {
					require.False(t, n.LeaseValid(), id)
				}
				c.server.Faults.SetOutage(false)
				time.Sleep(settle)
				after := c.requireAgreement(7)
				require.Empty(t, after.Gaps)
				require.Equal(t, lapse, after.Revision != before.Revision)
			})
		})
	}
}

func TestSlowReturnAfterOutageIsWaitedFor(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startAll(7)
		c.server.Faults.ExpireLeasesInOutage(true)
		c.server.Faults.SetOutage(true)
		time.Sleep(time.Minute)
		c.net.PartitionHost("e05")
		c.server.Faults.SetOutage(false)
		time.Sleep(8 * time.Second) // under a lease's time
		c.net.HealHost("e05")
		time.Sleep(settle)
		require.Empty(t, c.requireAgreement(7).Gaps)
	})
}

func TestDamagedTableIsBuiltAnew(t *testing.T) {
	damages := map[string]func(Table) kv.Op{
		"member taken out": func(table Table) kv.Op {
			value, _ := encodeTable(table.without("e02"))
			return kv.Put(tableKey, value)
		},
		"table deleted": func(Table) kv.Op { return kv.Delete(tableKey) },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, c *cluster) {
				c.startAll(7)
				life := c.nodes["e02"].life()
				_, err := c.nodes["e00"].store.Txn(t.Context(), nil, []kv.Op{damage(c.stored())})
				require.NoError(t, err)
				time.Sleep(settle)
				c.requireAgreement(7)
				require.Equal(t, life, c.nodes["e02"].life(), "the lease still held")
			})
		})
	}
}

func TestRestartUnderSameIDLeavesGap(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startAll(3)
		old := c.nodes["e01"].life()
		c.crash("e01")
		reborn := c.start(1) // at once, while the old lease still runs
		time.Sleep(settle)
		after := c.requireAgreement(3)
		require.Greater(t, reborn.life(), old)
		require.Len(t, after.Gaps, 1)
		require.Equal(t, old, after.Gaps[0].Member.Incarnation)
		for p := range partitions {
			owner, _ := after.Owner(p)
			_, dirty := c.nodes[owner.ID].AcquiredDirty(p)
			require.Equal(t, owner.ID == "e01", dirty)
		}
	})
}

func TestChangesWithLostAnswersSettle(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.server.Faults.LoseWriteAnswers(0.3)
		c.startAll(7)
		c.requireMembers(7)
		ctx, cancel := context.WithTimeout(t.Context(), settle)
		defer cancel()
		require.NoError(t, c.nodes["e04"].Leave(ctx))
		c.stop("e04")
		c.crash("e05")
		c.server.Faults.LoseWriteAnswers(0)
		time.Sleep(2 * settle)
		gaps := c.requireAgreement(5).Gaps
		require.Len(t, gaps, 2)
		for _, gap := range gaps {
			require.Equal(t, gap.Member.ID == "e04", gap.IsLeaving, "e04 left, e05 crashed")
		}
	})
}

// requireMembers checks the members of the stored table.
func (c *cluster) requireMembers(count int) {
	c.t.Helper()
	require.Len(c.t, c.stored().Members, count)
}

func TestDelayedRemovalDoesNotTakeOutTheRejoined(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startAll(3)
		n := c.nodes["e00"]
		lapsed := c.stored()
		// The guards of a removal fail while the member has a lease key.
		_, guards, removed := n.remove(lapsed, []Member{lapsed.Members[2]})
		require.Equal(t, 1, removed)
		result, err := n.store.Txn(t.Context(), guards, nil)
		require.NoError(t, err)
		require.False(t, result.Succeeded)
	})
}

func TestLeaveWithoutStoreSaysSo(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startAll(2)
		c.server.Faults.SetOutage(true)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		err := c.nodes["e00"].Leave(ctx)
		require.True(t, fault.Is(err, fault.Unavailable), "%v", err)
		require.Len(t, c.stored().Members, 2)
	})
}

func TestObserveOnlyRises(t *testing.T) {
	m := New(Config{Self: Member{ID: "a"}}, nil, telemetry.Discard(), metrics.NewRegistry())
	tables, cancel := m.Subscribe()
	defer cancel()
	for revision := int64(1); revision <= 20; revision++ {
		require.True(t, m.Observe(Table{Revision: revision}))
		require.False(t, m.Observe(Table{Revision: revision}))
		require.False(t, m.Observe(Table{Revision: revision - 1}))
	}
	require.Equal(t, int64(20), (<-tables).Revision, "only the latest waits")
	require.Len(t, m.Previous(), maxPrevious)
	require.Equal(t, int64(19), m.Previous()[0].Revision)
}

func TestOwnersAreBalancedAndStable(t *testing.T) {
	var members []Member
	for i := range 7 {
		members = append(members, Member{ID: fmt.Sprintf("entry-%d", i)})
	}
	full := NewTable(1, members, nil)
	less := full.without("entry-3")
	count := map[string]int{}
	for p := range partitions {
		a, ok := full.Owner(p)
		require.True(t, ok)
		count[a.ID]++
		plain, _ := Table{Members: full.Members}.Owner(p)
		require.Equal(t, a, plain)
		if b, _ := less.Owner(p); a.ID != "entry-3" {
			require.Equal(t, a, b)
		}
	}
	for id, n := range count {
		require.InDelta(t, partitions/7, n, partitions/14, id)
	}
	_, ok := Table{}.Owner(0)
	require.False(t, ok)
	_, ok = full.Owner(partitions)
	require.False(t, ok)
}

// TestIdleCallRate measures the calls per second and node on the store, and
// holds them to one renewal per third of a lease and one read per poll.
func TestIdleCallRate(t *testing.T) {
	const span = 5 * time.Minute
	for _, count := range []int{1, 7, 50} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			bubble(t, func(t *testing.T, c *cluster) {
				c.startAll(count)
				time.Sleep(settle)
				before := c.server.Calls()
				t.Logf("%d members: calls in the first two minutes, all nodes: %v", count, before)
				time.Sleep(span)
				after := c.server.Calls()
				perNode := map[string]float64{}
				for kind, n := range after {
					if n > before[kind] {
						perNode[kind] = float64(n-before[kind]) / span.Seconds() / float64(count)
					}
				}
				t.Logf("%d members: calls/s per node %v", count, perNode)
				require.LessOrEqual(t, perNode["keepalive"], renewalsPerTTL/defaultLeaseTTL.Seconds()+0.01)
				require.LessOrEqual(t, perNode["range"], 1/defaultPollInterval.Seconds()+0.01)
				require.Len(t, perNode, 2, "idle nodes renew and read, nothing else")
				c.requireAgreement(count)
			})
		})
	}
}

func membersOf(count int) []Member {
	members := make([]Member, count)
	for i := range members {
		id := fmt.Sprintf("entry-%04d", i)
		members[i] = Member{ID: id, Zone: fmt.Sprintf("zone-%d", i%3), Address: "10.0.100.100:7000", HTTPAddress: "10.0.100.100:8080", Incarnation: 1 << 40}
	}
	return members
}

// BenchmarkOwner measures a look-up, BenchmarkNewOwners the first look-up of a
// table and the bytes of the table in the store.
func BenchmarkOwner(b *testing.B) {
	table := NewTable(1, membersOf(50), nil)
	for i := range b.N {
		table.Owner(i % partitions)
	}
}

func BenchmarkNewOwners(b *testing.B) {
	for _, count := range []int{7, 50, 1200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			members := membersOf(count)
			value, err := encodeTable(Table{Members: members})
			require.NoError(b, err)
			for range b.N {
				table := NewTable(1, members, nil)
				table.Owner(0)
			}
			b.ReportMetric(float64(len(value)), "table-B")
		})
	}
}
