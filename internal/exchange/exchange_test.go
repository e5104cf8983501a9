package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMessagesGetRarerWithTheSiteWithinBounds(t *testing.T) {
	for _, tc := range []struct {
		others int
		every  time.Duration
	}{
		{0, interval},
		{6, interval},
		{24, 3 * interval / 2},
		{89, maxInterval},
		{1199, maxInterval},
	} {
		require.Equal(t, tc.every, intervalFor(tc.others), "%d others", tc.others)
		require.Greater(t, silence, 2*intervalFor(tc.others), "a late message is no silence")
	}
}
