package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const boot = 4 * time.Second

func TestServersAreRemovedOneAtATime(t *testing.T) {
	p := newPool(poolKey{"a", false}, 4)
	n, isDue := p.nextOrder(0, 2, 4, boot)
	require.True(t, isDue)
	require.Equal(t, 3, n)
	p.recordOrder(0, n, true)
	_, isDue = p.nextOrder(scaleDownInterval-1, 2, 3, boot)
	require.False(t, isDue)
	n, isDue = p.nextOrder(scaleDownInterval, 2, 3, boot)
	require.True(t, isDue)
	require.Equal(t, 2, n)
	n, isDue = p.nextOrder(scaleDownInterval, 6, 3, boot)
	require.True(t, isDue, "a rise does not wait")
	require.Equal(t, 6, n)
}

func TestRefusedOnDemandOrderIsRetriedImmediately(t *testing.T) {
	p := newPool(poolKey{"a", false}, 1)
	p.recordOrder(0, 3, false)
	n, isDue := p.nextOrder(time.Millisecond, 3, 1, boot)
	require.True(t, isDue)
	require.Equal(t, 3, n)
}

func TestOverdueReclaimableServersAreOrderedAgain(t *testing.T) {
	p := newPool(poolKey{"a", true}, 0)
	p.recordOrder(0, 3, false)
	_, isDue := p.nextOrder(refusalBackoff-1, 3, 0, boot)
	require.False(t, isDue, "a shortage lasts")
	_, isDue = p.nextOrder(refusalBackoff, 3, 0, boot)
	require.True(t, isDue)
	p.recordOrder(refusalBackoff, 3, true)
	_, isDue = p.nextOrder(refusalBackoff+overdueBootTimes*boot-1, 3, 0, boot)
	require.False(t, isDue, "they boot")
	n, isDue := p.nextOrder(refusalBackoff+overdueBootTimes*boot, 3, 0, boot)
	require.True(t, isDue)
	require.Equal(t, 3, n)
	_, isDue = p.nextOrder(refusalBackoff+overdueBootTimes*boot, 3, 3, boot)
	require.False(t, isDue)
}
