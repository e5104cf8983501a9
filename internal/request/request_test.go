package request

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNewIDSeparatesOrganisationAndKey(t *testing.T) {
	require.NotEqual(t, NewID("a", "bc"), NewID("ab", "c"))
	require.Equal(t, NewID("a", "bc"), NewID("a", "bc"))
	require.True(t, NewID("a", "bc").Valid())
}

func TestValidRejectsMalformedIDs(t *testing.T) {
	for _, id := range []ID{"", "12", "zz", NewID("a", "b") + "0", "zz" + NewID("a", "b")[2:]} {
		require.False(t, id.Valid(), "%q", id)
	}
}
