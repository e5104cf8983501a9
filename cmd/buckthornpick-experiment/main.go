// Command buckthornpick-experiment compares the routing, admission and sizing
// code with baseline policies on small engine models in virtual time, and writes
// a table and plots.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"buckthornpick/internal/experiment"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "buckthornpick-experiment:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "buckthornpick-experiment",
		Usage: "measure routing, admission and sizing policies in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "out/experiment", Usage: "directory for table.md and the plots"},
			&cli.UintFlag{Name: "first-seed", Value: 101, Usage: "first seed"},
			&cli.UintFlag{Name: "seeds", Value: 7, Usage: "number of seeds"},
			&cli.IntFlag{Name: "workers", Value: 4, Usage: "runs in parallel"},
			&cli.StringSliceFlag{Name: "site", Usage: "sites; default all"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "scenarios; default all"},
			&cli.StringSliceFlag{Name: "policy", Usage: "policies; default all"},
			&cli.BoolFlag{Name: "plots", Value: true, Usage: "write PNG plots"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	suite, err := suiteFromFlags(c)
	if err != nil {
		return err
	}
	groups, err := suite.Run(ctx)
	if err != nil {
		return err
	}
	directory := c.String("out")
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	if err := writeTables(filepath.Join(directory, "table.md"), groups); err != nil {
		return err
	}
	if !c.Bool("plots") {
		return nil
	}
	return experiment.WritePlots(directory, groups)
}

// suiteFromFlags returns the suite that the command line selects.
func suiteFromFlags(c *cli.Command) (suite experiment.Suite, err error) {
	if suite.Sites, err = experiment.FindSites(c.StringSlice("site")); err != nil {
		return suite, err
	}
	if suite.Scenarios, err = experiment.FindScenarios(c.StringSlice("scenario")); err != nil {
		return suite, err
	}
	if suite.Policies, err = experiment.FindPolicies(c.StringSlice("policy")); err != nil {
		return suite, err
	}
	for i := range uint64(c.Uint("seeds")) {
		suite.Seeds = append(suite.Seeds, uint64(c.Uint("first-seed"))+i)
	}
	suite.Workers = c.Int("workers")
	return suite, nil
}

// writeTables writes the comparison and the result tables to the file at path and
// to standard output.
func writeTables(path string, groups []experiment.Group) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	out := io.MultiWriter(file, os.Stdout)
	if err := experiment.WriteComparison(out, groups); err != nil {
		return err
	}
	return experiment.WriteTable(out, groups)
}
