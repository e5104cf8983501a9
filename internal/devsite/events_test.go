package devsite

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEventsPageMatchesTheCatalogue(t *testing.T) {
	var want bytes.Buffer
	require.NoError(t, writeEvents(&want))
	got, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	require.Equal(t, want.String(), string(got), "run: ./bin/buckthornpick-dev events > docs/EVENTS.md")
}
