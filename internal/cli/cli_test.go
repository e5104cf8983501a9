package cli

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
	"buckthornpick/internal/telemetry"
)

const goodPlanner = `{"node": {"id": "p1", "zone": "a"}, "store": {"url": "http://s:1"}, "cloud": {"url": "http://c:1"}}`

func TestDaemonExitCodes(t *testing.T) {
	dir := t.TempDir()
	good := filepath.Join(dir, "good.json")
	bad := filepath.Join(dir, "bad.json")
	require.NoError(t, os.WriteFile(good, []byte(goodPlanner), 0o600))
	require.NoError(t, os.WriteFile(bad, []byte(`{"nod": {}}`), 0o600))
	tests := []struct {
		name   string
		args   []string
		run    error
		code   int
		stderr string
	}{
		{"runs", []string{"--config", good}, nil, ExitOK, ""},
		{"fails", []string{"--config", good}, errors.New("no luck"), ExitFailure, "no luck"},
		{"checks only", []string{"--config", good, "--check-config"}, errors.New("must not run"), ExitOK, ""},
		{"wrong settings", []string{"--config", bad}, nil, ExitSettings, "bad.json:1: nod: unknown field"},
		{"missing file", []string{"--config", bad + "x"}, nil, ExitSettings, "cannot read settings"},
		{"no file named", nil, nil, ExitUsage, "--config FILE is required"},
		{"unknown flag", []string{"--nope"}, nil, ExitUsage, "nope"},
		{"argument", []string{"--config", good, "x"}, nil, ExitUsage, "unexpected argument"},
		{"log level", []string{"--config", good, "--log-level", "loud"}, nil, ExitUsage, "got \"loud\""},
		{"version", []string{"--version"}, nil, ExitOK, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Daemon[config.PlannerSettings]{
				Name: "test",
				Node: func(s *config.PlannerSettings) (config.NodeSettings, *config.LogSettings) { return s.Node, &s.Log },
				Run:  func(context.Context, config.PlannerSettings, *Process) error { return tt.run },
			}
			var stdout, stderr bytes.Buffer
			code := Execute(t.Context(), d.Command(), append([]string{"test"}, tt.args...), &stdout, &stderr)
			require.Equal(t, tt.code, code, stderr.String())
			require.Contains(t, stderr.String(), tt.stderr)
			if tt.name == "runs" {
				require.Contains(t, stdout.String(), "process stopped", "logs go to standard output")
			}
		})
	}
}

// A platform may send SIGTERM repeatedly. Signals after the first must not end
// the graceful shutdown, which would abort requests in progress.
func TestRepeatedSIGTERMIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signals := make(chan os.Signal, 3)
		codes := make(chan int, 1)
		ctx, stop := handleSignals(t.Context(), signals, telemetry.Discard(), func(code int) { codes <- code })
		defer stop()
		for range 3 {
			signals <- syscall.SIGTERM
		}
		<-ctx.Done()
		synctest.Wait()
		require.Empty(t, signals)
		require.Empty(t, codes)
	})
}

func TestInterruptDuringShutdownExitsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signals := make(chan os.Signal, 2)
		codes := make(chan int, 1)
		ctx, stop := handleSignals(t.Context(), signals, telemetry.Discard(), func(code int) { codes <- code })
		defer stop()
		signals <- syscall.SIGTERM
		<-ctx.Done()
		synctest.Wait()
		require.Empty(t, codes)
		signals <- syscall.SIGINT
		require.Equal(t, ExitFailure, <-codes)
	})
}

// The settings are read through a pipe, so that the signal comes before they can be.
func TestHangupBeforeSettingsAreReadDoesNotEndTheDaemon(t *testing.T) {
	const variable = "CLI_TEST_SETTINGS"
	if path := os.Getenv(variable); path != "" {
		os.Args = []string{"test", "--config", path}
		Daemon[config.PlannerSettings]{
			Name: "test", Reloads: true,
			Node: func(s *config.PlannerSettings) (config.NodeSettings, *config.LogSettings) { return s.Node, &s.Log },
			Run: func(ctx context.Context, _ config.PlannerSettings, p *Process) error {
				select {
				case <-p.Hangups:
					return nil
				case <-time.After(5 * time.Second):
					return errors.New("the signal is lost")
				}
			},
		}.Main()
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	daemon := exec.Command(os.Args[0], "-test.run=^TestHangupBeforeSettingsAreReadDoesNotEndTheDaemon$")
	daemon.Env = append(os.Environ(), variable+"="+path)
	require.NoError(t, daemon.Start())
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // waits for the reader
	require.NoError(t, err)
	require.NoError(t, daemon.Process.Signal(syscall.SIGHUP))
	_, err = settings.WriteString(goodPlanner)
	require.NoError(t, err)
	require.NoError(t, settings.Close())
	require.NoError(t, daemon.Wait())
}
