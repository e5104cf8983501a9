package relayd

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/cli"
	"buckthornpick/internal/config"
	"buckthornpick/internal/telemetry"
)

// A reload reads the file given at startup, not the default one.
func TestReloadReadsSettingsFileGivenAtStartup(t *testing.T) {
	t.Setenv(cli.EnvSettings, "")
	path := filepath.Join(t.TempDir(), "relay.json")
	write := func(callers string) {
		text := `{"node": {"id": "a", "zone": "z"}, "callers": "` + callers + `", "readiness": "a:2", "peers": "a:3", "store": "s:1"}`
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	write("a:1")
	settings, err := config.Load[config.RelaySettings](path)
	require.NoError(t, err)
	var log bytes.Buffer
	process := &Process{settings: settings, cli: &cli.Process{Settings: path, Log: telemetry.NewLogger(&log, 0, "a", "z")}}
	process.reload()
	require.Contains(t, log.String(), `"restart_due":false`)
	write("a:9")
	process.reload()
	require.Contains(t, log.String(), `"restart_due":true`)
}
