package cli

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// Version is the release version of all binaries.
const Version = "0.1.0"

// FullVersion returns Version, followed by the commit of the build if known.
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

// Execute runs cmd with args, whose first element is the program name. It prints
// an error to stderr and returns the exit code.
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

// setErrorHandling makes usage errors of cmd and its subcommands return
// ExitUsage, and keeps the library from exiting the process.
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

// UsageError returns an error with the exit code ExitUsage.
func UsageError(format string, args ...any) error {
	return WithExitCode(ExitUsage, fmt.Errorf(format, args...))
}
