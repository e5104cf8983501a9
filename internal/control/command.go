package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"syscall"

	"github.com/urfave/cli/v3"

	"buckthornpick/internal/admin"
	bpcli "buckthornpick/internal/cli"
	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
)

// Exit codes in addition to those of package cli.
const (
	// ExitConflict means that a change conflicts with one accepted before it.
	ExitConflict = 4
	// ExitUnknown means that the outcome of a change is unknown.
	ExitUnknown = 5
	// ExitTimeout means that wait timed out before all nodes had the revision.
	ExitTimeout = 6
	// ExitDiffers means that diff found differences.
	ExitDiffers = 7
)

// Main runs bpctl with the arguments of the process and exits.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// Run runs bpctl with args and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return bpcli.Execute(ctx, Command(), args, stdout, stderr)
}

// Command returns bpctl's root command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "bpctl",
		Usage: "drive a buckthornpick site: services, organisations and rules",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "read settings from `FILE` (JSON with comments)"},
			&cli.BoolFlag{Name: "check-config", Usage: "check the settings and exit"},
			&cli.StringSliceFlag{Name: "url", Usage: "base `URL` of an admin listener; goes before the settings"},
			&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the operators' token; goes before the settings"},
			&cli.StringFlag{Name: "output", Value: "text", Usage: "`FORMAT`: text or json", Validator: checkOutput},
		},
		Commands: []*cli.Command{
			applyCommand(), getCommand(), diffCommand(), explainCommand(), whereCommand(),
			waitCommand(), historyCommand(), statusCommand(), drainCommand(),
		},
		Action: rootAction,
	}
}

func checkOutput(format string) error {
	if format != "text" && format != "json" {
		return fmt.Errorf("expected text or json, got %q", format)
	}
	return nil
}

func rootAction(_ context.Context, c *cli.Command) error {
	if !c.Bool("check-config") {
		if c.Args().Len() > 0 {
			return bpcli.UsageError("unknown command %q; see bpctl --help", c.Args().First())
		}
		return bpcli.UsageError("expected a command; see bpctl --help")
	}
	if _, err := loadSettings(c); err != nil {
		return err
	}
	return newPrinter(c).line("%s: settings are good", c.String("config"))
}

// loadSettings reads the settings file and applies the flags that override it.
func loadSettings(c *cli.Command) (config.ControlSettings, error) {
	var s config.ControlSettings
	s.SetDefaults()
	if file := c.String("config"); file != "" {
		var err error
		if s, err = config.Load[config.ControlSettings](file); err != nil {
			return s, bpcli.WithExitCode(bpcli.ExitSettings, err)
		}
	}
	if urls := c.StringSlice("url"); len(urls) > 0 {
		s.AdminURLs = urls
	}
	if file := c.String("token-file"); file != "" {
		s.Token, s.TokenFile = "", file
	}
	if s.Author == "" {
		if u, err := user.Current(); err == nil {
			s.Author = u.Username
		}
	}
	return s, bpcli.WithExitCode(bpcli.ExitSettings, s.Validate().Err())
}

func newClient(c *cli.Command) (*admin.Client, error) {
	s, err := loadSettings(c)
	if err != nil {
		return nil, err
	}
	client, err := admin.NewClient(s)
	return client, bpcli.WithExitCode(bpcli.ExitSettings, err)
}

// readDocument reads the document from the file given as the command's argument.
func readDocument(c *cli.Command) (config.Document, error) {
	if c.Args().Len() != 1 {
		return config.Document{}, bpcli.UsageError("expected one argument: the document's file")
	}
	doc, err := config.Load[config.Document](c.Args().First())
	return doc, bpcli.WithExitCode(bpcli.ExitSettings, err)
}

// withExitCode wraps an error of the operators' API with its exit code.
func withExitCode(err error) error {
	var answer *admin.APIError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &answer) && answer.Answer.Type == admin.TypeConflict:
		return bpcli.WithExitCode(ExitConflict, err)
	case errors.As(err, &answer) && answer.Answer.Type == admin.TypeOutcomeUnknown:
		return bpcli.WithExitCode(ExitUnknown, err)
	case errors.As(err, &answer) && len(answer.Answer.Problems) > 0:
		return bpcli.WithExitCode(bpcli.ExitSettings, err)
	}
	return bpcli.WithExitCode(bpcli.ExitFailure, err)
}

// withChangeExitCode is withExitCode for a change, whose outcome is unknown if
// the response was lost.
func withChangeExitCode(err error) error {
	if fault.Is(err, fault.Ambiguous) {
		return bpcli.WithExitCode(ExitUnknown, err)
	}
	return withExitCode(err)
}
