// Package loadcmd implements the command line of buckthornpick-load.
package loadcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	bpcli "buckthornpick/internal/cli"
	"buckthornpick/internal/devsite"
	"buckthornpick/internal/telemetry"
)

// Main runs buckthornpick-load and exits.
func Main() {
	os.Exit(bpcli.Execute(context.Background(), command(), os.Args, os.Stdout, os.Stderr))
}

// Values of the flag --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func command() *cli.Command {
	return &cli.Command{
		Name:  "buckthornpick-load",
		Usage: "drive callers' requests against entries and report what became of them",
		Commands: []*cli.Command{
			{Name: "run", Usage: "drive a workload file against entries, open loop", Action: runAction, Flags: runFlags()},
			{Name: "example", Usage: "print an example of a workload file", Action: exampleAction, Flags: []cli.Flag{
				&cli.StringFlag{Name: "site", Value: devsite.Names()[0], Usage: "one of " + strings.Join(devsite.Names(), ", ")},
			}},
			{Name: "bench", Usage: "measure what one entry adds to streamed answers, on a site of its own",
				Action: benchAction, Flags: benchFlags()},
		},
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: outputTable, Usage: outputTable + " or " + outputJSON}
}

// checkOutput returns a usage error for an unknown format.
func checkOutput(c *cli.Command) error {
	switch c.String("output") {
	case outputTable, outputJSON:
		return nil
	}
	return bpcli.UsageError("--output: expected %s or %s, got %q", outputTable, outputJSON, c.String("output"))
}

func checkNoArguments(c *cli.Command) error {
	if c.Args().Len() > 0 {
		return bpcli.UsageError("unexpected argument %q", c.Args().First())
	}
	return nil
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func exampleAction(_ context.Context, c *cli.Command) error {
	if err := checkNoArguments(c); err != nil {
		return err
	}
	p, err := devsite.Find(c.String("site"))
	if err != nil {
		return bpcli.UsageError("--site: %v", err)
	}
	out := c.Root().Writer
	_, _ = fmt.Fprintf(out, "// Workload of the site %s, as \"buckthornpick-dev serve --site %s\" accepts it.\n", p.Name, p.Name)
	return writeJSON(out, p.Workload)
}

// withSignals returns a context that is cancelled on SIGTERM or SIGINT.
func withSignals(ctx context.Context) (context.Context, func()) {
	return bpcli.WithSignals(ctx, telemetry.Discard())
}
