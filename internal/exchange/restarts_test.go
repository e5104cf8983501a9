package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// spendSteadily spends an amount at each running entry every tenth of a second for the time
// d, and appends what all spent to s.recent.
func (s *testSite) spendSteadily(d time.Duration, amount float64) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, e := range s.entries {
			if e.Quotas.Spend(testQuota, e.Site(), amount).Allowed { // not right after its start
				s.recent = append(s.recent, spending{time.Now(), amount})
			}
		}
	}
}

// spending is an amount and when it was spent.
type spending struct {
	at     time.Time
	amount float64
}

// requireNoneCountedTwice requires that each entry counts what all spent in the window: a
// quarter more at most, since an entry that has just started knows the time of what others
// spent only to an eighth of the window, and a tenth less at most.
func (s *testSite) requireNoneCountedTwice(when string) {
	s.t.Helper()
	sum := 0.0
	for _, spent := range s.recent {
		if time.Since(spent.at) < testQuotaWindow {
			sum += spent.amount
		}
	}
	for id, e := range s.entries {
		known := e.Quotas.Spend(testQuota, e.Site(), 0).Spent
		require.LessOrEqual(s.t, known, 1.25*sum, "%s: %s", when, id)
		require.GreaterOrEqual(s.t, known, 0.9*sum, "%s: %s", when, id)
	}
}

// Entries that are restarted in turn change the hubs of their zone, and a site at the limit
// of the full mesh changes between the mesh and hubs. What is spent meanwhile must be counted
// once by each entry, whichever way its reports come.
func TestRestartsInTurnDoNotDoubleCount(t *testing.T) {
	sizes := []int{17, 24}
	if !testing.Short() {
		sizes = append(sizes, 18)
	}
	for _, entries := range sizes {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			withTestSite(t, (entries+2)/3, func(s *testSite) {
				for _, node := range s.nodes[entries:] {
					s.kill(node.ID)
				}
				s.nodes = s.nodes[:entries]
				s.register()
				time.Sleep(unregisteredGrace)
				s.spendSteadily(testQuotaWindow+settleTime, 10)
				s.requireNoneCountedTwice("before")
				restarts := 2 * len(s.nodes)
				if testing.Short() {
					restarts /= 2
				}
				for i := range restarts {
					node := s.nodes[i*7%len(s.nodes)]
					s.entries[node.ID].Flush()
					s.kill(node.ID)
					s.register()
					s.spendSteadily(600*time.Millisecond, 10)
					s.start(node)
					s.register()
					s.spendSteadily(1400*time.Millisecond, 10)
					s.requireNoneCountedTwice(fmt.Sprint("restart ", i, " of ", node.ID))
				}
			})
		})
	}
}
