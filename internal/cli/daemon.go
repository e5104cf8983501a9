package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"

	"buckthornpick/internal/config"
	"buckthornpick/internal/telemetry"
)

// EnvSettings is the environment variable with the path of the settings file. It
// is used if --config is not given.
const EnvSettings = "BUCKTHORNPICK_SETTINGS"

// Process holds the process-wide resources that a daemon's Run receives in
// addition to its settings.
type Process struct {
	// Settings is the path of the settings file.
	Settings string
	Log      *telemetry.Logger
	Metrics  metrics.Registry
	Stdout   io.Writer
	// Hangups receives a SIGHUP that came since the program started; nil unless the daemon
	// reloads.
	Hangups <-chan os.Signal
}

// Daemon describes a binary that runs until it is signalled to stop. T is the
// type of its settings.
type Daemon[T any] struct {
	Name  string
	Usage string
	// Node returns the parts of the settings that all daemons have.
	Node func(*T) (config.NodeSettings, *config.LogSettings)
	// Run serves until ctx ends, then shuts down gracefully and returns.
	Run func(ctx context.Context, settings T, p *Process) error
	// Reloads is true if Run handles Process.Hangups. SIGHUP ends other daemons.
	Reloads bool

	hangups chan os.Signal
}

// Main runs the daemon with the arguments of the process and exits with its exit
// code.
func (d Daemon[T]) Main() {
	if d.Reloads {
		// Before the settings are read, which takes milliseconds.
		d.hangups = make(chan os.Signal, 1)
		signal.Notify(d.hangups, syscall.SIGHUP)
	}
	os.Exit(Execute(context.Background(), d.Command(), os.Args, os.Stdout, os.Stderr))
}

// Command returns the daemon's root command.
func (d Daemon[T]) Command() *cli.Command {
	return &cli.Command{
		Name:  d.Name,
		Usage: d.Usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "read settings from `FILE` (JSON with comments)", Sources: cli.EnvVars(EnvSettings)},
			&cli.BoolFlag{Name: "check-config", Usage: "check the settings and exit"},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error; goes before the settings"},
		},
		Action: d.action,
	}
}

func (d Daemon[T]) action(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		return UsageError("unexpected argument %q", c.Args().First())
	}
	if c.String("config") == "" {
		return UsageError("--config FILE is required")
	}
	settings, err := config.Load[T](c.String("config"))
	if err != nil {
		return WithExitCode(ExitSettings, err)
	}
	node, logSettings := d.Node(&settings)
	if text := c.String("log-level"); text != "" {
		logSettings.Level = text
	}
	level, err := parseLevel(logSettings.Level)
	if err != nil {
		return WithExitCode(ExitUsage, err)
	}
	if c.Bool("check-config") {
		_, _ = fmt.Fprintf(c.Root().Writer, "%s: settings are good\n", c.String("config"))
		return nil
	}
	log, stopLog := startLog(c.Root().Writer, level, node)
	defer stopLog()
	return d.run(ctx, settings, &Process{Settings: c.String("config"), Log: log, Metrics: metrics.NewRegistry(), Stdout: c.Root().Writer, Hangups: d.hangups})
}

func (d Daemon[T]) run(ctx context.Context, settings T, p *Process) error {
	ctx, stop := WithSignals(ctx, p.Log)
	defer stop()
	p.Log.Log(EvStarting, "program", d.Name, "version", FullVersion())
	err := d.Run(ctx, settings, p)
	if err != nil && !(ctx.Err() != nil && errors.Is(err, context.Canceled)) {
		p.Log.Log(EvFailed, "err", err)
		return WithExitCode(ExitFailure, err)
	}
	p.Log.Log(EvStopped)
	return nil
}

func parseLevel(text string) (slog.Level, error) {
	var level slog.Level
	switch text {
	case "debug", "info", "warn", "error":
		err := level.UnmarshalText([]byte(text))
		return level, err
	}
	return level, fmt.Errorf("--log-level: expected debug, info, warn or error, got %q", text)
}
