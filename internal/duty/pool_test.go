package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const bootTime = 4 * time.Second

func TestServersAreRemovedOneAtATime(t *testing.T) {
	p := newPool(poolKey{"a", false}, 4)
	n, isDue := p.nextOrder(0, 2, 4, bootTime)
	require.True(t, isDue)
	require.Equal(t, 3, n)
	p.recordOrder(0, n, true)
	_, isDue = p.nextOrder(scaleDownInterval-1, 2, 3, bootTime)
	require.False(t, isDue)
	n, isDue = p.nextOrder(scaleDownInterval, 2, 3, bootTime)
	require.True(t, isDue)
	require.Equal(t, 2, n)
	n, isDue = p.nextOrder(scaleDownInterval, 6, 3, bootTime)
	require.True(t, isDue, "an increase is ordered immediately")
	require.Equal(t, 6, n)
}

// A zone starts with 20 servers and needs 4: no step removes more than a quarter, and the
// surplus is gone in less than half of the time that steps of one server take.
func TestSurplusOfLargeZoneIsRemovedInSteps(t *testing.T) {
	const surplus, want = 16, 4
	p := newPool(poolKey{"a", false}, want+surplus)
	now := time.Duration(0)
	for ; p.ordered > want; now += scaleDownInterval {
		n, isDue := p.nextOrder(now, want, p.ordered, bootTime)
		require.True(t, isDue)
		require.GreaterOrEqual(t, n, want)
		require.LessOrEqual(t, p.ordered-n, max(1, p.ordered/4))
		p.recordOrder(now, n, true)
	}
	require.Less(t, now, surplus*scaleDownInterval/2+scaleDownInterval)
}

func TestBurstAfterAStartOrdersServersBeforeAnyIsRemoved(t *testing.T) {
	p := newPool(poolKey{"a", false}, 4)
	n, isDue := p.nextOrder(0, p.target(7, false), 4, bootTime)
	require.True(t, isDue)
	require.Equal(t, 7, n)
	p.recordOrder(0, n, true)
	_, isDue = p.nextOrder(time.Hour, p.target(2, false), 7, bootTime)
	require.False(t, isDue, "the load was measured for too short a time to remove servers")
	_, isDue = p.nextOrder(time.Hour, p.target(2, true), 7, bootTime)
	require.True(t, isDue)
}

func TestRefusedOnDemandOrderIsRetriedImmediately(t *testing.T) {
	p := newPool(poolKey{"a", false}, 1)
	p.recordOrder(0, 3, false)
	n, isDue := p.nextOrder(time.Millisecond, 3, 1, bootTime)
	require.True(t, isDue)
	require.Equal(t, 3, n)
}

func TestOverdueReclaimableServersAreOrderedAgain(t *testing.T) {
	p := newPool(poolKey{"a", true}, 0)
	p.recordOrder(0, 3, false)
	_, isDue := p.nextOrder(refusalBackoff-1, 3, 0, bootTime)
	require.False(t, isDue, "no retry during the backoff")
	_, isDue = p.nextOrder(refusalBackoff, 3, 0, bootTime)
	require.True(t, isDue)
	p.recordOrder(refusalBackoff, 3, true)
	_, isDue = p.nextOrder(refusalBackoff+overdueBootTimes*bootTime-1, 3, 0, bootTime)
	require.False(t, isDue, "the servers may still be booting")
	n, isDue := p.nextOrder(refusalBackoff+overdueBootTimes*bootTime, 3, 0, bootTime)
	require.True(t, isDue)
	require.Equal(t, 3, n)
	_, isDue = p.nextOrder(refusalBackoff+overdueBootTimes*bootTime, 3, 3, bootTime)
	require.False(t, isDue)
}
