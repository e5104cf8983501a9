package loadcmd

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	bpcli "buckthornpick/internal/cli"
	"buckthornpick/internal/devsite"
)

func execute(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = bpcli.Execute(context.Background(), command(), append([]string{"buckthornpick-load"}, args...), &out, &errs)
	return code, out.String(), errs.String()
}

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

func TestExamplesAreValidWorkloads(t *testing.T) {
	for _, name := range devsite.Names() {
		code, text, _ := execute("example", "--site", name)
		require.Equal(t, bpcli.ExitOK, code)
		path := filepath.Join(t.TempDir(), "workload.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		code, out, errs := execute("run", "--workload", path, "--check")
		require.Equal(t, bpcli.ExitOK, code, errs)
		require.Contains(t, out, "workload is good")

		wrong := strings.Replace(text, `"maxTokens"`, `"maxTokes"`, 1)
		require.NoError(t, os.WriteFile(path, []byte(wrong), 0o600))
		code, _, errs = execute("run", "--workload", path, "--check")
		require.Equal(t, bpcli.ExitSettings, code)
		require.Contains(t, errs, "maxTokes: unknown field")
	}
}

func TestUsageErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "workload.json")
	_, text, _ := execute("example")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	for _, args := range [][]string{
		{"run"},
		{"run", "--workload", path},
		{"run", "--workload", path, "--entry", "127.0.0.1:8080"},
		{"run", "--workload", path, "--entry", "http://127.0.0.1:1", "--output", "xml"},
		{"run", "--workload", path, "--entry", "http://127.0.0.1:1", "more"},
		{"example", "--site", "nowhere"},
		{"nonsense"},
	} {
		code, _, errs := execute(args...)
		require.Equal(t, bpcli.ExitUsage, code, "%v: %s", args, errs)
	}
}

func TestRunFailsIfCallsAreLost(t *testing.T) {
	path := filepath.Join(t.TempDir(), "workload.json")
	require.NoError(t, os.WriteFile(path, []byte(`{
		"name": "one", "requestsPerSecond": 100, "durationSeconds": 0.02, // about two calls
		"classes": [{"name": "c", "weight": 1, "method": "GET", "path": "/services/s/x"}],
		"callers": [{"organisation": "o", "key": "k", "weight": 1}],
	}`), 0o600))
	code, out, errs := execute("run", "--workload", path, "--entry", "http://"+unusedAddress(t), "--output", "json")
	require.Equal(t, bpcli.ExitFailure, code)
	require.Contains(t, out, `"cutOff":`)
	require.Contains(t, errs, "lost")
}
