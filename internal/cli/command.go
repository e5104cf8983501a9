package cli

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// Version is the release of all binaries.
const Version = "0.1.0"

// FullVersion returns Version with the commit that was built, if known.
func FullVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version
	}
	const digits = 12
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= digits {
			return Version + " (" + s.Value[:digits] + ")"
		}
	}
	return Version
}

// Execute runs cmd with args (the first is the program's name), prints an
// error to stderr and returns the exit code.
func Execute(ctx context.Context, cmd *cli.Command, args []string, stdout, stderr io.Writer) int {
	setErrorHandling(cmd)
	cmd.Version = FullVersion()
	cmd.Writer, cmd.ErrWriter = stdout, stderr
	err := cmd.Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", cmd.Name, err)
	}
	return ExitCode(err)
}

// prepare gives usage errors their exit code, in cmd and its subcommands.
func setErrorHandling(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return WithExitCode(ExitUsage, err)
	}
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if len(cmd.Commands) > 0 && cmd.Action == nil {
		cmd.Action = func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return WithExitCode(ExitUsage, fmt.Errorf("expected a command; see %s --help", c.Name))
			}
			return WithExitCode(ExitUsage, fmt.Errorf("unknown command %q; see %s --help", c.Args().First(), c.Name))
		}
	}
	for _, sub := range cmd.Commands {
		setErrorHandling(sub)
	}
}

// UsageError returns an error with ExitUsage.
func UsageError(format string, args ...any) error {
	return WithExitCode(ExitUsage, fmt.Errorf(format, args...))
}
