package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRandomFaults injects faults drawn from a seed and checks that a node that
// reports a valid lease holds it in the store, that every removal from the table
// records a gap, and that all nodes agree once the faults end.
func TestRandomFaults(t *testing.T) {
	const nodes, steps = 7, 40
	seeds := uint64(8)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, func(t *testing.T, c *cluster) {
				rng := rand.New(rand.NewPCG(seed, 0))
				c.startAll(nodes)
				for range steps {
					c.randomFault(rng, nodes)
					for until := time.Now().Add(time.Duration(rng.IntN(12)) * time.Second); time.Now().Before(until); {
						time.Sleep(250 * time.Millisecond)
						c.requireValidLeasesHeld()
					}
				}
				c.healAll(nodes)
				time.Sleep(3 * settleTime)
				c.requireAgreement(nodes)
				requireGapPerRemoval(t, c.tableHistory(c.nodes["e00"]))
			})
		})
	}
}

func (c *cluster) randomFault(rng *rand.Rand, nodes int) {
	i := rng.IntN(nodes)
	id := fmt.Sprintf("e%02d", i)
	switch rng.IntN(9) {
	case 0:
		if c.nodes[id] != nil {
			c.crash(id)
		}
	case 1:
		if c.nodes[id] == nil {
			c.start(i)
		}
	case 2:
		c.net.PauseHost(id)
	case 3:
		c.net.ResumeHost(id)
	case 4:
		c.net.PartitionZones("z0", fmt.Sprintf("z%d", 1+rng.IntN(2)))
	case 5:
		c.net.HealAll()
	case 6:
		c.server.Faults.ExpireLeasesInOutage(rng.IntN(2) == 0)
		c.server.Faults.SetOutage(rng.IntN(2) == 0)
	case 7:
		c.server.Faults.LoseWriteAnswers(0.3 * float64(rng.IntN(2)))
	case 8:
		c.server.Faults.DelayNextWrites(rng.IntN(3), time.Duration(rng.IntN(8))*time.Second)
	}
}

func (c *cluster) healAll(nodes int) {
	c.net.HealAll()
	c.server.Faults.SetOutage(false)
	c.server.Faults.LoseWriteAnswers(0)
	c.server.Faults.DelayNextWrites(0, 0)
	for i := range nodes {
		id := fmt.Sprintf("e%02d", i)
		c.net.ResumeHost(id)
		if c.nodes[id] == nil {
			c.start(i)
		}
	}
}

func (c *cluster) requireValidLeasesHeld() {
	c.t.Helper()
	for id, n := range c.nodes {
		if !n.LeaseValid() {
			continue
		}
		_, revision := c.server.Peek(memberKey(n.cfg.Self))
		require.Equal(c.t, n.currentIncarnation(), revision, "%s reports a valid lease that it does not hold", id)
	}
}

// requireGapPerRemoval checks that every member removed from a table has a gap
// in the next table. A new incarnation of the same process needs none, so only
// members that are absent from the next table are checked.
func requireGapPerRemoval(t *testing.T, tables []Table) {
	t.Helper()
	for i := 1; i < len(tables); i++ {
		for _, old := range tables[i-1].Members {
			if _, remains := tables[i].Find(old.ID); remains {
				continue
			}
			require.NotEmpty(t, tables[i].Gaps, "%s was removed without a gap", old.ID)
			last := tables[i].Gaps[len(tables[i].Gaps)-1]
			require.Equal(t, tables[i-1].Revision, last.PreviousRevision, "%s was removed without a gap", old.ID)
		}
	}
}
