package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRandomFaults puts nodes through faults drawn from a seed and checks that
// a node that believes in its lease has it, that no member goes from the table
// without a gap, and that all agree in the end.
func TestRandomFaults(t *testing.T) {
	const nodes, steps = 7, 40
	seeds := uint64(8)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble(t, func(t *testing.T, c *cluster) {
				rng := rand.New(rand.NewPCG(seed, 0))
				c.startAll(nodes)
				for range steps {
					c.randomFault(rng, nodes)
					for until := time.Now().Add(time.Duration(rng.IntN(12)) * time.Second); time.Now().Before(until); {
						time.Sleep(250 * time.Millisecond)
						c.requireTrueLeases()
					}
				}
				c.healAll(nodes)
				time.Sleep(3 * settle)
				c.requireAgreement(nodes)
				requireGaps(t, c.history(c.nodes["e00"]))
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

func (c *cluster) requireTrueLeases() {
	c.t.Helper()
	for id, n := range c.nodes {
		if !n.LeaseValid() {
			continue
		}
		_, revision := c.server.Peek(memberKey(n.cfg.Self))
		require.Equal(c.t, n.life(), revision, "%s believes in a lease that it has not", id)
	}
}

// requireGaps checks that whatever left a table left a gap in the next one. A
// new incarnation of the same process needs none, so only members that are
// gone are looked at.
func requireGaps(t *testing.T, tables []Table) {
	t.Helper()
	for i := 1; i < len(tables); i++ {
		for _, old := range tables[i-1].Members {
			if _, still := tables[i].Find(old.ID); still {
				continue
			}
			require.NotEmpty(t, tables[i].Gaps, "%s went without a gap", old.ID)
			last := tables[i].Gaps[len(tables[i].Gaps)-1]
			require.Equal(t, tables[i-1].Revision, last.PreviousRevision, "%s went without a gap", old.ID)
		}
	}
}
