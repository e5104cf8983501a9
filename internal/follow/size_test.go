package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSizeHoldsWhileRegistrationsFail(t *testing.T) {
	now := time.Duration(0)
	s := NewSiteSize(func() time.Duration { return now })
	require.Equal(t, 1, s.Estimate(1), "nothing is known")
	s.recall(3)
	require.Equal(t, 3, s.Estimate(1), "the others may not be registered")
	now += time.Hour
	require.Equal(t, 3, s.Estimate(1), "nor is this one")

	s.SetRegistered(true)
	now += certainAfter - 1
	require.Equal(t, 3, s.Estimate(2))
	now++
	require.Equal(t, 2, s.Estimate(2), "the third one has gone")

	s.SetRegistered(false)
	require.Equal(t, 2, s.Estimate(1))
	require.Equal(t, 4, s.Estimate(4))
	s.SetRegistered(true)
	require.Equal(t, 4, s.Estimate(1))
	now += certainAfter
	s.SetRegistered(true)
	require.Equal(t, 1, s.Estimate(1))
}
