package loadcmd

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	bpcli "buckthornpick/internal/cli"
	"buckthornpick/internal/config"
	"buckthornpick/internal/load"
	"buckthornpick/internal/netx"
)

// maxIdlePerEntry bounds the idle connections kept to one entry.
const maxIdlePerEntry = 1024

func runFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "workload", Usage: "read the workload from `FILE` (JSON with comments)"},
		&cli.StringSliceFlag{Name: "entry", Usage: "base `URL` of an entry; give one flag for each"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the workload"},
		&cli.DurationFlag{Name: "duration", Usage: "how long requests arrive; default the workload's own"},
		&cli.BoolFlag{Name: "check", Usage: "check the workload file and exit"},
		outputFlag(),
	}
}

func runAction(ctx context.Context, c *cli.Command) error {
	w, err := readWorkload(c)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if c.Bool("check") {
		_, _ = fmt.Fprintf(out, "%s: workload is good\n", c.String("workload"))
		return nil
	}
	entries, err := entryURLs(c)
	if err != nil {
		return err
	}
	ctx, stop := withSignals(ctx)
	defer stop()
	client := &load.Client{
		HTTP:     netx.HTTPClient(netx.TCP{}, netx.HTTPOptions{MaxIdlePerHost: maxIdlePerEntry}),
		Balancer: func(call, attempt int) string { return entries[(call+attempt)%len(entries)] },
	}
	defer client.HTTP.CloseIdleConnections()
	started := time.Now()
	results, err := load.Run(ctx, w, c.Uint64("seed"), client, nil)
	if err != nil {
		return err
	}
	report := load.Summarise(w.Name, time.Since(started), results)
	if c.String("output") == outputJSON {
		err = writeJSON(out, report)
	} else {
		report.WriteTable(out)
	}
	return errors.Join(err, checkCounts(report))
}

// checkCounts returns an error if calls were lost or answered wrongly, or if
// connections were cut off.
func checkCounts(r load.Report) error {
	n := r.Counts
	if n.Lost+n.Wrong+n.CutOff == 0 {
		return nil
	}
	return fmt.Errorf("%d calls lost, %d answered wrongly, %d connections cut off", n.Lost, n.Wrong, n.CutOff)
}

// readWorkload checks the flags and reads the workload file.
func readWorkload(c *cli.Command) (*load.Workload, error) {
	if err := errors.Join(checkNoArguments(c), checkOutput(c)); err != nil {
		return nil, err
	}
	path := c.String("workload")
	if path == "" {
		return nil, bpcli.UsageError(`--workload FILE is required; "buckthornpick-load example" prints one`)
	}
	w, err := config.Load[load.Workload](path)
	if err != nil {
		return nil, bpcli.WithExitCode(bpcli.ExitSettings, err)
	}
	if c.Duration("duration") > 0 {
		w.DurationSeconds = c.Duration("duration").Seconds()
	}
	if err := w.Check(); err != nil {
		return nil, bpcli.WithExitCode(bpcli.ExitSettings, fmt.Errorf("%s: %w", path, err))
	}
	return &w, nil
}

// entryURLs returns the base URLs of the --entry flags, without a trailing slash.
func entryURLs(c *cli.Command) ([]string, error) {
	var out []string
	for _, text := range c.StringSlice("entry") {
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, bpcli.UsageError("--entry: expected a URL like http://127.0.0.1:8080, got %q", text)
		}
		out = append(out, strings.TrimSuffix(text, "/"))
	}
	if len(out) == 0 {
		return nil, bpcli.UsageError("--entry URL is required")
	}
	return out, nil
}
