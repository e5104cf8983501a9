package loadcmd

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"buckthornpick/internal/bench"
)

// maxSearchRate bounds the search for the highest rate, in requests per second.
const maxSearchRate = 1000

func benchFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
		&cli.FloatFlag{Name: "rate", Value: bench.DefaultRate, Usage: "requests per second, of 360 tokens each"},
		&cli.DurationFlag{Name: "duration", Value: bench.DefaultDuration, Usage: "how long requests arrive in each phase"},
		&cli.FloatFlag{Name: "max-rate", Value: maxSearchRate,
			Usage: "bound of the search for the highest rate, in requests per second; 0 leaves it out"},
		&cli.StringFlag{Name: "profiled-phase", Value: bench.PhaseEntry, Usage: "direct, entry or relay"},
		&cli.StringFlag{Name: "cpu-profile", Usage: "write a processor profile of the profiled phase to `FILE`"},
		&cli.StringFlag{Name: "alloc-profile", Usage: "write a profile of allocations up to the end of the profiled phase to `FILE`"},
		outputFlag(),
	}
}

func benchAction(ctx context.Context, c *cli.Command) error {
	if err := errors.Join(checkNoArguments(c), checkOutput(c)); err != nil {
		return err
	}
	ctx, stop := withSignals(ctx)
	defer stop()
	report, err := bench.Run(ctx, bench.Options{
		Seed: c.Uint64("seed"), Rate: c.Float("rate"), Duration: c.Duration("duration"), MaxRate: c.Float("max-rate"),
		Progress:   c.Root().ErrWriter,
		CPUProfile: c.String("cpu-profile"), AllocProfile: c.String("alloc-profile"), ProfiledPhase: c.String("profiled-phase"),
	})
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if c.String("output") == outputJSON {
		return writeJSON(out, report)
	}
	report.WriteTable(out)
	return nil
}
