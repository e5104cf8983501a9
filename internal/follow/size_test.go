package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against dividing quotas among too few entries: while registrations fail,
// the registry lists fewer entries than there are.
func TestSiteSizeDoesNotShrinkWhileRegistrationsFail(t *testing.T) {
	now := time.Duration(0)
	s := NewSiteSize(func() time.Duration { return now })
	require.Equal(t, 1, s.Estimate(1), "no larger number is known")
	s.setStored(3)
	require.Equal(t, 3, s.Estimate(1), "the other entries may not be registered")
	now += time.Hour
	require.Equal(t, 3, s.Estimate(1), "this entry is not registered either")

	s.SetRegistered(true)
	now += registryCompleteAfter - 1
	require.Equal(t, 3, s.Estimate(2))
	now++
	require.Equal(t, 2, s.Estimate(2), "the third entry has left")

	s.SetRegistered(false)
	require.Equal(t, 2, s.Estimate(1))
	require.Equal(t, 4, s.Estimate(4))
	s.SetRegistered(true)
	require.Equal(t, 4, s.Estimate(1))
	now += registryCompleteAfter
	s.SetRegistered(true)
	require.Equal(t, 1, s.Estimate(1))
}
